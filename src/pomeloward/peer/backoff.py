"""Exponential backoff with jitter."""

import random


class Backoff:
    """Delays that double with each failure up to a maximum.

    Half of each delay is fixed and half is random ("equal jitter"), so that
    hosts that lost the same peer do not all reconnect at the same time.
    """

    def __init__(
        self, initial_ms: float, max_ms: float, rng: random.Random
    ) -> None:
        self._initial_ms = initial_ms
        self._max_ms = max_ms
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Return to the initial delay after a success."""
        self._failures = 0

    def next_delay_ms(self) -> float:
        """Count one more failure and return the delay that follows it."""
        upper_bound_ms = min(
            self._max_ms, self._initial_ms * 2.0**self._failures
        )
        if upper_bound_ms < self._max_ms:
            self._failures += 1
        return upper_bound_ms * (0.5 + self._rng.random() / 2)
