"""When a host stands for a partition without an owner."""

import random

from pomeloward.ownership import lease

# Time between the attempts of candidates of consecutive ranks, long enough
# for a candidacy across zones to end before the next one begins.
RANK_STEP_MS = 200.0
_JITTER_MS = 100.0
_FIRST_RETRY_MS = 300.0


class Succession:
    """Attempts to take over partitions, with backoff by rank and jitter.

    Rank 0 is the first candidate. Times come from the host's memory as a
    voter: a partition is free when the last vote for it has lapsed.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._attempt_ms: dict[int, float] = {}
        self._seen_free_ms: dict[int, float] = {}
        self._failures: dict[int, int] = {}

    def is_due(
        self, number: int, rank: int, free_at_ms: float, now_ms: float
    ) -> bool:
        """Tell whether to stand now for a partition free since a time."""
        if now_ms < free_at_ms:
            self._failures.pop(number, None)
            return False
        if self._seen_free_ms.get(number) != free_at_ms:
            self._seen_free_ms[number] = free_at_ms
            planned_ms = max(now_ms, free_at_ms) + self._backoff_ms(rank)
            earlier_ms = self._attempt_ms.get(number, 0.0)
            self._attempt_ms[number] = max(planned_ms, earlier_ms)
        return now_ms >= self._attempt_ms[number]

    def failed(
        self, number: int, rank: int, wait_ms: float, now_ms: float
    ) -> None:
        """Plan the next attempt after one that failed.

        ``wait_ms`` is how long a voter keeps the partition for another.
        """
        failures = self._failures.get(number, 0)
        self._failures[number] = failures + 1
        ceiling_ms = min(lease.LEASE_MS, _FIRST_RETRY_MS * 2.0**failures)
        retry_ms = self._rng.uniform(0.0, ceiling_ms)
        self._attempt_ms[number] = (
            now_ms + wait_ms + self._backoff_ms(rank) + retry_ms
        )

    def _backoff_ms(self, rank: int) -> float:
        return rank * RANK_STEP_MS + self._rng.uniform(0.0, _JITTER_MS)
