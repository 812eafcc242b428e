"""A token bucket without loans."""


class ExactBucket:
    """The exact bucket of a whole fleet, or one of equal static shares."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s, self._burst = rate_per_s, burst
        self._level, self._at_ms = burst, 0.0

    def take(self, now_ms: float) -> bool:
        """Take a token if there is one."""
        minted = self._rate_per_s * (now_ms - self._at_ms) / 1000
        self._level = min(self._burst, self._level + minted)
        self._at_ms = now_ms
        if self._level < 1 - 1e-9:
            return False
        self._level -= 1
        return True
