"""Detects that this host was paused."""

import math

# Memories reach back 34 s farther than callers may repeat their own keys. A
# shorter pause is covered by that.
MAX_PAUSE_MS = 20_000.0
# Requests that arrived during a pause are read within this time after it.
_SETTLE_MS = 10_000.0


class PauseGuard:
    """Tells whether requests that are read now may be old.

    After a long pause a host reads requests that waited in its sockets, for
    longer perhaps than owners and voters remember their repeats.
    """

    def __init__(self) -> None:
        """Begin with the first tick."""
        self._ticked_ms = math.inf
        self._fresh_from_ms = -math.inf

    def tick(self, now_ms: float) -> None:
        """Note that the process runs; called every second or so."""
        if now_ms - self._ticked_ms > MAX_PAUSE_MS:
            self._fresh_from_ms = now_ms + _SETTLE_MS
        self._ticked_ms = now_ms

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether no request can have waited through a long pause."""
        self.tick(now_ms)
        return now_ms >= self._fresh_from_ms
