"""Exponential backoff with jitter."""

import random


class Backoff:
    """Delays that double with each failure, with jitter, up to a cap.

    Half of each delay is fixed and half is random ("equal jitter"), so that
    hosts which lost a peer together do not return together.
    """

    def __init__(
        self, first_ms: float, cap_ms: float, rng: random.Random
    ) -> None:
        self._first_ms = first_ms
        self._cap_ms = cap_ms
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Start again after a success."""
        self._failures = 0

    def next_ms(self) -> float:
        """Return the delay after one more failure."""
        ceiling_ms = min(self._cap_ms, self._first_ms * 2.0**self._failures)
        if ceiling_ms < self._cap_ms:
            self._failures += 1
        return ceiling_ms * (0.5 + self._rng.random() / 2)
