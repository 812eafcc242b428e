"""Whether this host has become too slow for its callers."""

# A timer that comes this late on average delays each request by as much,
# several times over: a tenth of the shortest objectives.
SLOW_MS = 40.0
# Smoothing per tick of 100 ms: half a second.
_GAIN = 0.2
# A host that was slow stays behind the others for this long, since its
# processor may look fast only for want of callers.
HOLD_MS = 15_000.0
# The work of the start makes timers late.
_START_MS = 3_000.0


class Lag:
    """Follows how late the loop's timers come.

    Other work on a machine, or a slowed processor, shows first as timers
    that come late. The fleet then sends callers to other hosts.
    """

    def __init__(self, now_ms: float) -> None:
        self._from_ms = now_ms + _START_MS
        self._mean_ms = 0.0
        self._slow_until_ms = float("-inf")

    @property
    def mean_ms(self) -> float:
        """The usual lateness."""
        return self._mean_ms

    def observe(self, late_ms: float, now_ms: float) -> None:
        """Take the lateness of a timer."""
        if now_ms < self._from_ms:
            return
        self._mean_ms += _GAIN * (max(0.0, late_ms) - self._mean_ms)
        if self._mean_ms >= SLOW_MS:
            self._slow_until_ms = now_ms + HOLD_MS

    def is_slow(self, now_ms: float) -> bool:
        """Tell whether callers are better served by other hosts."""
        return now_ms < self._slow_until_ms
