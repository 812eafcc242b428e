"""Whether a refused request may have run on a target."""

import enum


class RunState(enum.Enum):
    """Whether a refused request may have run on a target.

    ``NOT_RUN`` is claimed only where it is certain; everything else is
    ``UNKNOWN``.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
