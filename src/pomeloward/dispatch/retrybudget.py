"""Bounds the retries of a service on one host."""

# A tenth of the requests, so that retries add at most 10% of load, and a
# few per second so that a service with little traffic can retry at all.
_RATIO = 0.1
_PER_S = 3.0
_CAPACITY = 30.0


class RetryBudget:
    """A budget that requests and time fill and retries empty."""

    def __init__(self, now_ms: float) -> None:
        self._tokens = _PER_S
        self._filled_at_ms = now_ms

    def on_request(self) -> None:
        """Add the share of one first attempt."""
        self._tokens = min(_CAPACITY, self._tokens + _RATIO)

    def try_take(self, now_ms: float) -> bool:
        """Take one retry if the budget has it."""
        grown = (now_ms - self._filled_at_ms) / 1_000 * _PER_S
        self._tokens = min(_CAPACITY, self._tokens + grown)
        self._filled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
