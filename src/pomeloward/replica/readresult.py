"""The result of a read of the platform's store."""

import dataclasses

from pomeloward.replica import change


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Changes up to a revision of the store.

    A snapshot lists everything that exists; what it omits was removed.
    """

    revision: int
    changes: tuple[change.Change, ...]
    is_snapshot: bool
