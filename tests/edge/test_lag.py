"""Tests of hosts that turn slow."""

from pomeloward.edge import lag

_START_MS = 5_000.0


def _after(late_ms, ticks, made=None, now_ms=_START_MS):
    made = made or lag.Lag(0.0)
    for _ in range(ticks):
        now_ms += 100.0 + late_ms
        made.observe(late_ms, now_ms)
    return made, now_ms


def test_host_whose_timers_come_late_is_slow_within_a_second():
    """A host at a seventh of its speed kept its zone's callers for 5 s."""
    made, now_ms = _after(80.0, 5)
    assert now_ms - _START_MS <= 1_000
    assert made.is_slow(now_ms)


def test_single_late_timer_is_no_slowness():
    """One collection or one large configuration."""
    made, now_ms = _after(2.0, 20)
    made, now_ms = _after(150.0, 1, made, now_ms)
    made, now_ms = _after(2.0, 20, made, now_ms)
    assert not made.is_slow(now_ms)


def test_slow_host_stays_behind_for_a_while():
    made, now_ms = _after(80.0, 10)
    made, now_ms = _after(1.0, 20, made, now_ms)
    assert made.is_slow(now_ms)
    made, now_ms = _after(1.0, 200, made, now_ms)
    assert not made.is_slow(now_ms)


def test_work_of_the_start_does_not_count():
    made = lag.Lag(0.0)
    _after(300.0, 5, made, now_ms=0.0)
    assert not made.is_slow(2_000.0)
