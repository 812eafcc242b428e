"""Measures the rate of the requests that callers send to this host."""

# Weight of a new rate in the mean. With one update every 100 ms, the mean
# follows a change within about a second.
_SMOOTHING_RATIO = 0.1


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
        self.mean_per_s += _SMOOTHING_RATIO * (rate_per_s - self.mean_per_s)
