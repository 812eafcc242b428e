"""Tests of the slow start of a cold target."""

from pomeloward import catalog
from pomeloward import model
from pomeloward.service import messages
from pomeloward.service import targetrecord
from pomeloward.service import targetset
from pomeloward.service import targetstate
from pomeloward.service import tuning as tunings

_TUNING = tunings.Tuning()
_HOST = model.HostId("h0")
_STEP_MS = 300.0


def _record():
    target = catalog.Target(
        model.TargetId("t0"),
        model.ServiceId("s"),
        model.ZoneId("z"),
        model.SiteId("a"),
        "http://127.0.0.1:1",
    )
    record = targetrecord.TargetRecord(target, 8, _TUNING)
    record.fall(0.0)
    return record


def _run(record, from_ms, to_ms, centinats):
    """Report three answers every 300 ms, and judge by what hosts know."""
    targets = targetset.TargetSet(_TUNING, None)
    now_ms = from_ms
    while now_ms < to_ms:
        now_ms += _STEP_MS
        evidence = messages.Evidence(
            index=0, count=3, samples=3, centinats=3 * centinats
        )
        record.observe(_HOST, evidence, now_ms)
        targets._advance(record, None, None, now_ms)


def test_healthy_target_warms_up():
    """Guards against a slow start that never ends."""
    record = _record()
    _run(record, 0.0, 6_000.0, centinats=0)
    assert record.state is targetstate.TargetState.WARM


def test_slow_target_is_not_given_more():
    """Guards against a ramp on slow answers while no warm target compares.

    The fault matrix saw a target become warm at 8 times its usual latency.
    """
    record = _record()
    _run(record, 0.0, 6_000.0, centinats=100)
    assert record.state is targetstate.TargetState.COLD
    assert record.level == 1


def test_target_that_slows_down_gets_no_more():
    """Guards against more slots for a target that already is slow."""
    record = _record()
    _run(record, 0.0, 2_400.0, centinats=0)
    level = record.level
    assert level > 1
    _run(record, 2_400.0, 6_000.0, centinats=200)
    assert record.state is targetstate.TargetState.COLD
    assert record.level == level
