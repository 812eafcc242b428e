"""Where a replica is read from."""

import typing

from pomeloward import model
from pomeloward.replica import readresult


class HistoryGone(model.PlatformUnavailable):
    """The store no longer has the changes after a revision."""


class StoreClient(typing.Protocol):
    """The platform's store, decoded."""

    async def read_snapshot(self) -> readresult.ReadResult:
        """Read everything; raises ``PlatformUnavailable``."""

    async def read_changes_after(self, revision: int) -> readresult.ReadResult:
        """Read the changes after a revision.

        Raises ``HistoryGone`` where a whole reading is needed, and
        ``PlatformUnavailable``.
        """
