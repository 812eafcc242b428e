"""How long a caller may take between and at the start of requests."""

import dataclasses

# Longer than any caller keeps a connection that it still uses.
_IDLE_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerTimes:
    """The longest wait for a request, and for the rest of a begun head."""

    idle_s: float = _IDLE_S
    head_s: float = _IDLE_S
