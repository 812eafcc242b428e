"""The interface through which the platform's store is read."""

import typing

from pomeloward import model
from pomeloward.replica import readresult


class HistoryGone(model.PlatformUnavailable):
    """The store no longer has the changes after a revision."""


class StoreClient(typing.Protocol):
    """Reads the platform's store and decodes its entries."""

    async def read_snapshot(self) -> readresult.ReadResult:
        """Read all entries; raises ``PlatformUnavailable``."""

    async def read_changes_after(self, revision: int) -> readresult.ReadResult:
        """Read the changes after a revision.

        Raises ``HistoryGone`` if only a snapshot can be read, and
        ``PlatformUnavailable``.
        """
