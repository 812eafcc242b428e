"""Bounds the hedged attempts of a service and times them."""

import collections

# Hedging adds at most 5% of load.
_RATIO = 0.05
_CAPACITY = 5.0
# Hedges start where 19 of 20 answers have arrived, after J. Dean and
# L. Barroso, "The Tail at Scale" (2013).
_QUANTILE = 0.95
_WINDOW = 200
_LEAST_OBSERVATIONS = 40
_RECOMPUTE_EVERY = 20
_LEAST_DELAY_MS = 10.0


class HedgeBudget:
    """Decides when a second attempt may run beside a slow first one."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._latencies_ms: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )
        self._since_computed = 0
        self._delay_ms: float | None = None

    def on_request(self) -> None:
        """Add the share of one first attempt."""
        self._tokens = min(_CAPACITY, self._tokens + _RATIO)

    def on_latency(self, latency_ms: float) -> None:
        """Learn from the time to the headers of an answer."""
        self._latencies_ms.append(latency_ms)
        self._since_computed += 1
        if self._since_computed < _RECOMPUTE_EVERY:
            return
        self._since_computed = 0
        if len(self._latencies_ms) >= _LEAST_OBSERVATIONS:
            ordered = sorted(self._latencies_ms)
            quantile_ms = ordered[int(len(ordered) * _QUANTILE)]
            self._delay_ms = max(_LEAST_DELAY_MS, quantile_ms)

    @property
    def delay_ms(self) -> float | None:
        """When to hedge after the first attempt; None: not at all."""
        return self._delay_ms if self._tokens >= 1 else None

    def try_take(self) -> bool:
        """Take one hedged attempt if the budget has it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
