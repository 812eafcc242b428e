"""Tests of what a host reports, and how often it has to."""

import random

import pytest

from pomeloward.service import hostslots
from pomeloward.service import messages
from pomeloward.service import outcome
from pomeloward.service import tuning

_TABLE = ("t0", "t1")


def _slots():
    made = hostslots.HostSlots("s", 1, tuning.Tuning(), random.Random(1))
    made.configure(dict.fromkeys(_TABLE, 2), ())
    return made


def _answer(slots, report, epoch=7, grants=(), states=b"\1\1"):
    is_agreed = report.epoch == epoch
    answer = messages.Answer(
        epoch=epoch,
        sequence=report.sequence,
        is_agreed=is_agreed,
        clock_ms=5.0,
        version=3,
        targets=() if is_agreed else _TABLE,
        grants=grants if is_agreed else (),
        states=states if is_agreed else b"",
    )
    return slots.apply(answer)


def _join(slots, epoch=7, now_ms=0.0, **answer):
    assert _answer(slots, slots.report(now_ms), epoch)
    report = slots.report(now_ms)
    _answer(slots, report, epoch, **answer)
    return report


def test_states_go_to_a_new_controller_until_it_answers():
    """Guards against a new controller that learns nothing from hosts."""
    slots = _slots()
    _join(slots)
    assert slots.report(10.0).states == b""
    # The controller moves; its answer to the first report is lost.
    assert _answer(slots, slots.report(20.0), epoch=8)
    for now_ms in (30.0, 40.0):
        report = slots.report(now_ms)
        assert report.states == b"\1\1"
        assert report.states_version == 3
        assert report.states_age_ms == now_ms
        assert report.echo_ms == 5.0
    _answer(slots, report, epoch=8)
    assert slots.report(50.0).states == b""


def test_idle_only_after_an_empty_report_was_answered():
    """Guards against slots that a controller counts after they are free."""
    slots = _slots()
    assert not slots.is_idle()
    slots.waiting = {"a": 1}
    _join(slots, grants=((0, 1),))
    assert not slots.is_idle()
    run, _ = slots.acquire("r", "a", frozenset(), 1.0)
    slots.waiting = {}
    slots.release(run, outcome.Outcome.OK, 5.0, 6.0)
    # The slot and the evidence are not reported yet.
    assert not slots.is_idle()
    _answer(slots, slots.report(7.0))
    assert not slots.is_idle()
    empty = slots.report(8.0)
    assert not slots.is_idle()
    _answer(slots, empty)
    assert slots.is_idle()


@pytest.mark.parametrize("cause", ["waiting", "evidence", "grant"])
def test_anything_to_say_ends_idleness(cause):
    """Guards against demand or evidence that waits for an idle report."""
    slots = _slots()
    _join(slots)
    assert slots.is_idle()
    if cause == "waiting":
        slots.waiting = {"a": 1}
    elif cause == "evidence":
        slots.unreachable("t0", 1.0)
    else:
        _answer(slots, slots.report(1.0), grants=((0, 1),))
    assert not slots.is_idle()
