"""A token bucket that several hosts empty together."""

# A restarted host doesn't know what it admitted before; it begins with the
# tokens of this time, and not with a whole burst.
RESTART_MS = 500.0


class SharedBucket:
    """Each host keeps the fleet's bucket and learns of the others' takings.

    What others took arrives late, so the tokens can fall below zero; the
    debt is then paid by refusing, which keeps the sum over a window to the
    rate, the burst, and what all hosts admit within one report's delay.

    Example::

        bucket = SharedBucket(rate_per_s=57.0, burst=57.0, tokens=57.0)
        bucket.take(now_ms)
        bucket.spent_elsewhere(3, now_ms)
    """

    def __init__(
        self, rate_per_s: float, burst: float, tokens: float, now_ms: float
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = tokens
        self._filled_ms = now_ms

    def configure(
        self, rate_per_s: float, burst: float, now_ms: float
    ) -> None:
        """Take a changed rate and burst."""
        self._fill(now_ms)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def limit(self, tokens: float, now_ms: float) -> None:
        """Drop tokens above a number."""
        self._fill(now_ms)
        self._tokens = min(self._tokens, tokens)

    def take(self, now_ms: float) -> bool:
        """Take a token for a request of this host."""
        self._fill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def spent_elsewhere(self, count: float, now_ms: float) -> None:
        """Take tokens that another host has spent; below 0 it returns some."""
        self._fill(now_ms)
        self._tokens = min(self._burst, self._tokens - count)

    def wait_ms(self, now_ms: float) -> float:
        """Return how long until a token is there again."""
        self._fill(now_ms)
        missing = max(0.0, 1.0 - self._tokens)
        return missing / self._rate_per_s * 1_000

    def _fill(self, now_ms: float) -> None:
        grown = (now_ms - self._filled_ms) / 1_000 * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + max(0.0, grown))
        self._filled_ms = now_ms
