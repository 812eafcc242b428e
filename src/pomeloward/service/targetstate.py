"""States of a target as its controller sees it."""

import enum


class TargetState(enum.IntEnum):
    """State of a target; the number is its byte in an answer.

    ``UNKNOWN`` lasts while a new controller cannot rule out loans of its
    predecessor. ``OUT`` is a zone taken out or a site without a share.
    """

    WARM = 0
    COLD = 1
    TRIAL = 2
    EJECTED = 3
    OUT = 4
    LEAVING = 5
    UNKNOWN = 6

    @property
    def is_excluded(self) -> bool:
        """Whether the configuration keeps new work away."""
        return self in (TargetState.OUT, TargetState.LEAVING)
