"""Measures the rate of the requests that callers send to this host."""

import math

# The mean follows a change to two thirds within this time.
_TIME_CONSTANT_S = 1.0


class RequestRate:
    """A moving average of the requests that start per second."""

    def __init__(self) -> None:
        self.mean_per_s = 0.0
        self._started_count = 0

    def update_mean(self, started_count: int, elapsed_s: float) -> None:
        """Update the mean with the requests since the last update.

        ``started_count`` is the number of requests that have started since
        the host's startup.
        """
        rate_per_s = (started_count - self._started_count) / elapsed_s
        self._started_count = started_count
        weight = 1.0 - math.exp(-elapsed_s / _TIME_CONSTANT_S)
        self.mean_per_s += weight * (rate_per_s - self.mean_per_s)
