"""How many requests callers send to this host."""

# Smoothing per tick of 100 ms: a change shows after about a second.
_GAIN = 0.1


class Load:
    """Moving average of the requests that started."""

    def __init__(self) -> None:
        self.per_s = 0.0
        self._started = 0

    def observe(self, started: int, passed_s: float) -> None:
        """Take the number of requests since the host's start."""
        rate_per_s = (started - self._started) / passed_s
        self._started = started
        self.per_s += _GAIN * (rate_per_s - self.per_s)
