"""Limits the rate of requests to a cold target."""

import collections

_WINDOW_MS = 1_000.0


class RateLimiter:
    """Limits how many attempts at a target start in the last second.

    Its length is the number of these attempts.
    """

    def __init__(self) -> None:
        self._started_at_ms: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._started_at_ms)

    def allows(self, limit_per_s: float, now_ms: float) -> bool:
        """Tell whether one more start in this second is within the limit."""
        self._drop_expired(now_ms)
        return len(self._started_at_ms) + 1 <= limit_per_s

    def record_start(self, now_ms: float) -> None:
        """Add a start, also of a warm target, since it may turn cold."""
        self._drop_expired(now_ms)
        self._started_at_ms.append(now_ms)

    def _drop_expired(self, now_ms: float) -> None:
        while (
            self._started_at_ms
            and self._started_at_ms[0] <= now_ms - _WINDOW_MS
        ):
            self._started_at_ms.popleft()
