"""The known ways to two owners, each played once."""

import pytest

from pomeloward import model
from tests.ownership import fleet

_SLOW = 1 - model.MAX_DRIFT_RATIO / 2
_FAST = 1 + model.MAX_DRIFT_RATIO / 2


def _fleet(speeds=(1.0,) * 5) -> fleet.Fleet:
    hosts = [
        fleet.SimHost(name, speed)
        for name, speed in zip(fleet.HOSTS, speeds, strict=True)
    ]
    made = fleet.Fleet(hosts)
    made.time_ms = 3_100.0
    return made


def _elect(made: fleet.Fleet, index: int, reach=None, back_ms=0) -> None:
    host = made.hosts[index]
    host.holder.expire(host.now_ms(made.time_ms))
    if not host.holder.is_engaged(fleet.NUMBER):
        host.stand(made.time_ms)
    reached = None if reach is None else [made.hosts[i] for i in reach]
    made.exchange(host, reached, back_ms)


def _assert_never_two(made: fleet.Fleet, second: int, until_ms: float) -> None:
    """Let a second candidate try every 5 ms until it owns."""
    while not made.hosts[second].holds(made.time_ms):
        assert made.time_ms < until_ms, "the second candidate never owned"
        made.time_ms += 5.0
        _elect(made, second)
        assert len(made.valid_holders()) <= 1


@pytest.mark.parametrize("back_ms", [0, 500, 900])
def test_lease_counts_from_the_question(back_ms):
    """Guards against a slow answer that lengthens the owner's lease."""
    made = _fleet()
    _elect(made, 0, back_ms=back_ms)
    assert made.valid_holders() == ["a"]
    _assert_never_two(made, 1, 7_000.0)


@pytest.mark.parametrize("owner_speed", [_SLOW, _FAST])
def test_clocks_at_both_ends_of_the_drift_bound(owner_speed):
    """Guards against an owner with a slow clock that acts too long."""
    others = _FAST if owner_speed == _SLOW else _SLOW
    made = _fleet((owner_speed, others, others, others, others))
    _elect(made, 0)
    assert made.valid_holders() == ["a"]
    _assert_never_two(made, 1, 7_000.0)


def test_voters_that_forgot_stay_silent():
    """Guards against a second owner by voters that restarted."""
    made = _fleet()
    _elect(made, 0)
    assert made.valid_holders() == ["a"]
    for voter in made.hosts[1:3]:
        voter.restart(made.time_ms)
    _assert_never_two(made, 1, 7_000.0)


def test_paused_owner_has_ended_when_it_wakes():
    """Guards against an owner that was paused and acts on old knowledge."""
    made = _fleet()
    _elect(made, 0)
    made.time_ms += 4_000.0
    _elect(made, 1)
    assert made.valid_holders() == ["b"]


def test_two_rosters_in_circulation():
    """Guards against owners by the majorities of two different rosters."""
    made = _fleet()
    _elect(made, 0, reach=(0, 1))
    other = made.hosts[4]
    other.version = model.Version(2)
    _elect(made, 4, reach=(2, 3, 4))
    assert made.valid_holders() == ["a"]
    made.time_ms += 4_000.0
    _elect(made, 4)
    assert made.valid_holders() == ["e"]
