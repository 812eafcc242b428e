"""A token bucket of which each host of the fleet keeps a replica."""

# A restarted host doesn't know what it admitted before the restart. Its
# buckets start with the tokens that accrue in this time instead of a full
# burst.
RESTART_REFILL_MS = 500.0


class ReplicatedTokenBucket:
    """One host's replica of a token bucket that the whole fleet shares.

    The host takes tokens for the requests that it admits and subtracts those
    that other hosts report. These reports arrive late, so the token count can
    fall below zero; requests are then refused until refilling has made up for
    it. Within a time window all hosts together thus admit no more than the
    rate allows, plus the burst, plus what they admit within the delay of one
    report.

    Example::

        bucket = ReplicatedTokenBucket(
            rate_per_s=57.0, burst_requests=57.0, tokens=57.0, now_ms=now_ms
        )
        is_admitted = bucket.try_take_token(now_ms)
        bucket.subtract_tokens(3, now_ms)
    """

    def __init__(
        self,
        rate_per_s: float,
        burst_requests: float,
        tokens: float,
        now_ms: float,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst_requests = burst_requests
        self._tokens = tokens
        self._refilled_at_ms = now_ms

    def update_limits(
        self, rate_per_s: float, burst_requests: float, now_ms: float
    ) -> None:
        """Set a new rate and burst, and drop tokens above the new burst."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._burst_requests = burst_requests
        self._tokens = min(self._tokens, burst_requests)

    def cap_tokens(self, max_tokens: float, now_ms: float) -> None:
        """Drop the tokens above ``max_tokens``."""
        self._refill(now_ms)
        self._tokens = min(self._tokens, max_tokens)

    def try_take_token(self, now_ms: float) -> bool:
        """Take a token if there is one, and tell whether there was."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def subtract_tokens(self, count: float, now_ms: float) -> None:
        """Subtract tokens, below zero if need be; a negative count adds."""
        self._refill(now_ms)
        self._tokens = min(self._burst_requests, self._tokens - count)

    def time_to_next_token_ms(self, now_ms: float) -> float:
        """Return the time until a token can be taken, 0 if one is there."""
        self._refill(now_ms)
        missing_tokens = max(0.0, 1.0 - self._tokens)
        return missing_tokens / self._rate_per_s * 1_000

    def _refill(self, now_ms: float) -> None:
        """Add the tokens accrued since the last refill, up to the burst."""
        accrued_tokens = (
            (now_ms - self._refilled_at_ms) / 1_000 * self._rate_per_s
        )
        self._tokens = min(
            self._burst_requests, self._tokens + max(0.0, accrued_tokens)
        )
        self._refilled_at_ms = now_ms
