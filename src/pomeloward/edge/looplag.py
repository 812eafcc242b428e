"""Detects that this host is too slow, from the lag of its event loop."""

# Mean timer delay from which a host is slow. Each request is delayed by
# several times as much, and 40 ms are a tenth of the shortest objectives.
SLOW_DELAY_MS = 40.0
# Weight of a new delay in the mean. With one delay every 100 ms, the mean
# follows a change within half a second.
_SMOOTHING_RATIO = 0.2
# How long a host stays slow after its last slow mean. Without callers, the
# timers of a slow processor may come in time.
SLOW_HOLD_MS = 15_000.0
# Delays in this time are ignored, since work at startup makes timers late.
_STARTUP_MS = 3_000.0


class LoopLagMonitor:
    """Measures how late the timers of the event loop fire.

    Late timers are the first sign of a slowed processor, or of other work on
    the machine. The fleet then sends callers to other hosts.
    """

    def __init__(self, now_ms: float) -> None:
        self._measure_from_ms = now_ms + _STARTUP_MS
        self._mean_delay_ms = 0.0
        self._slow_until_ms = float("-inf")

    @property
    def mean_delay_ms(self) -> float:
        """The moving average of the timer delays."""
        return self._mean_delay_ms

    def record_delay(self, delay_ms: float, now_ms: float) -> None:
        """Update the mean with the delay of a timer that fired now."""
        if now_ms < self._measure_from_ms:
            return
        self._mean_delay_ms += _SMOOTHING_RATIO * (
            max(0.0, delay_ms) - self._mean_delay_ms
        )
        if self._mean_delay_ms >= SLOW_DELAY_MS:
            self._slow_until_ms = now_ms + SLOW_HOLD_MS

    def is_slow(self, now_ms: float) -> bool:
        """Tell whether callers are better served by other hosts."""
        return now_ms < self._slow_until_ms
