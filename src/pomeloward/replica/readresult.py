"""What one call to the platform's store returned."""

import dataclasses

from pomeloward.replica import change


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Changes up to a revision.

    A whole reading lists everything there is; what it leaves out is gone.
    """

    revision: int
    changes: tuple[change.Change, ...]
    is_snapshot: bool
