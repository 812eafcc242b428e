"""The recent demand of a team at one host."""

import math

# Time constant of the average. It follows a move of demand between hosts
# within about a second, and at 10 requests/s still averages ten of them.
_TIME_CONSTANT_MS = 1_000.0


class Demand:
    """An exponentially weighted average of requests per second."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at_ms = -math.inf

    def note(self, now_ms: float) -> None:
        """Count one request."""
        self._weight = self._decayed(now_ms) + 1
        self._at_ms = now_ms

    def per_s(self, now_ms: float) -> float:
        """Return requests per second."""
        return self._decayed(now_ms) * 1000 / _TIME_CONSTANT_MS

    def _decayed(self, now_ms: float) -> float:
        if not self._weight:
            return 0.0
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        return self._weight * math.exp(-elapsed_ms / _TIME_CONSTANT_MS)
