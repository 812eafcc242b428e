"""Tests of the detection of slow hosts."""

from pomeloward.edge import looplag

_AFTER_STARTUP_MS = 5_000.0


def _record_delays(delay_ms, count, monitor=None, now_ms=_AFTER_STARTUP_MS):
    """Record equal delays of timers that are due 100 ms after each other.

    Returns the monitor, a new one by default, and the time after the last
    delay.
    """
    monitor = monitor or looplag.LoopLagMonitor(0.0)
    for _ in range(count):
        now_ms += 100.0 + delay_ms
        monitor.record_delay(delay_ms, now_ms)
    return monitor, now_ms


def test_host_with_late_timers_is_slow_within_a_second():
    """A host at a seventh of its speed must not keep its zone's callers.

    Callers were sent to such a host for 5 s.
    """
    monitor, now_ms = _record_delays(80.0, 5)
    assert now_ms - _AFTER_STARTUP_MS <= 1_000
    assert monitor.is_slow(now_ms)


def test_single_late_timer_does_not_make_host_slow():
    """A garbage collection or a large configuration delays one timer."""
    monitor, now_ms = _record_delays(2.0, 20)
    monitor, now_ms = _record_delays(150.0, 1, monitor, now_ms)
    monitor, now_ms = _record_delays(2.0, 20, monitor, now_ms)
    assert not monitor.is_slow(now_ms)


def test_host_stays_slow_for_a_while_after_its_delays_end():
    monitor, now_ms = _record_delays(80.0, 10)
    monitor, now_ms = _record_delays(1.0, 20, monitor, now_ms)
    assert monitor.is_slow(now_ms)
    monitor, now_ms = _record_delays(1.0, 200, monitor, now_ms)
    assert not monitor.is_slow(now_ms)


def test_delays_during_startup_are_ignored():
    monitor = looplag.LoopLagMonitor(0.0)
    _record_delays(300.0, 5, monitor, now_ms=0.0)
    assert not monitor.is_slow(2_000.0)
