"""A bound on the reads that one host makes."""

import random

# 27 candidates of three regions stay under a third of the platform's
# 2,000 reads/s even when all of them load a snapshot.
READS_PER_S = 20.0
BURST_READS = 20.0
# 640 hosts with 24 shards each then ask for 1,600 reads/s at most.
BOOTSTRAP_SPREAD_MS = 10_000.0
FIRST_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 10_000.0


class ReadBudget:
    """A token bucket with exponential, jittered backoff after failures.

    A host without a configuration waits for a random part of
    ``bootstrap_spread_ms`` first, so that a fleet that starts together reads
    little and takes the rest from its peers. Without peers it should be 0.
    """

    def __init__(
        self,
        rng: random.Random,
        now_ms: float,
        bootstrap_spread_ms: float = 0.0,
    ) -> None:
        self._rng = rng
        self._bootstrap_at_ms = now_ms + rng.uniform(0, bootstrap_spread_ms)
        self._tokens = BURST_READS
        self._filled_ms = now_ms
        self._failures = 0
        self._blocked_until_ms = now_ms

    def may_bootstrap(self, now_ms: float) -> bool:
        """Tell whether a host without a configuration may read."""
        return now_ms >= self._bootstrap_at_ms

    def delay_ms(self, now_ms: float) -> float:
        """Return how long to wait before the next read."""
        self._fill(now_ms)
        missing_ms = max(0.0, 1 - self._tokens) / READS_PER_S * 1000
        return max(missing_ms, self._blocked_until_ms - now_ms)

    def spend(self, now_ms: float) -> None:
        """Count a read."""
        self._fill(now_ms)
        self._tokens -= 1

    def on_success(self) -> None:
        """End the backoff."""
        self._failures = 0

    def on_failure(self, now_ms: float) -> None:
        """Begin or lengthen the backoff."""
        backoff_ms = min(
            MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(self._failures, 10)
        )
        self._failures += 1
        self._blocked_until_ms = now_ms + backoff_ms * self._rng.uniform(
            0.5, 1.0
        )

    def _fill(self, now_ms: float) -> None:
        gained = (now_ms - self._filled_ms) / 1000 * READS_PER_S
        self._tokens = min(BURST_READS, self._tokens + max(0.0, gained))
        self._filled_ms = now_ms
