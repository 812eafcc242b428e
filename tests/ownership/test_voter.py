"""Tests of a voter's rules, one by one."""

import pytest

from pomeloward import model
from pomeloward.ownership import lease
from pomeloward.ownership import messages
from pomeloward.ownership import voter

_A, _B = model.HostId("a"), model.HostId("b")
_VERDICT = messages.Verdict


class Desk:
    """A voter that has ended its silence, asked for one partition."""

    def __init__(self) -> None:
        self.voter = voter.Voter(-lease.SILENCE_MS)

    def ask(self, host, epoch, now_ms, version=5, incarnation=1, own=5):
        ask = messages.VoteAsk(
            region=model.RegionId("south"),
            version=model.Version(version),
            incarnation=model.Incarnation(incarnation),
            bids=(messages.Bid(0, epoch),),
        )
        answer = self.voter.answer(host, ask, model.Version(own), True, now_ms)
        return answer.votes[0]

    def release(self, host, epoch, now_ms, successor="", is_unused=False):
        notice = messages.Release(
            region=model.RegionId("south"),
            incarnation=model.Incarnation(1),
            bids=(messages.Bid(0, epoch),),
            successor=model.HostId(successor),
            is_unused=is_unused,
        )
        self.voter.release(host, notice, now_ms)


@pytest.fixture
def desk() -> Desk:
    return Desk()


def test_older_configuration_is_refused(desk):
    """Guards against an owner that acts on a retired roster."""
    assert desk.ask(_A, 7, 0.0, version=4).verdict is _VERDICT.STALE_VERSION
    assert desk.ask(_A, 7, 0.0, version=6).verdict is _VERDICT.GRANTED


def test_no_vote_without_standing(desk):
    """Guards against the vote of a cut-off host."""
    ask = messages.VoteAsk(
        region=model.RegionId("south"),
        version=model.Version(1),
        incarnation=model.Incarnation(1),
        bids=(messages.Bid(0, 1),),
    )
    answer = desk.voter.answer(_A, ask, model.Version(1), False, 0.0)
    assert answer.votes[0].verdict is _VERDICT.NO_STANDING


def test_vote_is_kept_until_the_slowest_clock_has_passed_the_lease(desk):
    """Guards against a second vote while the first is in use."""
    desk.ask(_A, 7, 0.0)
    assert desk.ask(_B, 8, 3_029.0) == messages.Vote(_VERDICT.HELD, 2)
    assert desk.ask(_B, 8, 3_031.0) == messages.Vote(_VERDICT.GRANTED, 7)


def test_restarted_holder_counts_as_another(desk):
    """Guards against two processes of one host that both own."""
    desk.ask(_A, 7, 0.0)
    vote = desk.ask(_A, 8, 1.0, incarnation=2)
    assert vote.verdict is _VERDICT.HELD


def test_probe_changes_nothing(desk):
    """Guards against a candidate that takes votes by probing."""
    probe = messages.PROBE_EPOCH
    assert desk.ask(_B, probe, 0.0) == messages.Vote(_VERDICT.GRANTED, 0)
    desk.ask(_A, 7, 0.0)
    assert desk.ask(_B, probe, 1.0).verdict is _VERDICT.HELD
    assert desk.ask(_B, probe, 4_000.0).value == 7
    assert desk.ask(_A, 7, 4_000.0).verdict is _VERDICT.GRANTED


def test_released_vote_is_kept_for_the_successor_only(desk):
    """Guards against a hand-over that a third host wins."""
    desk.ask(_A, 7, 0.0)
    desk.release(_A, 7, 10.0, successor="b")
    other = model.HostId("c")
    assert desk.ask(other, 8, 20.0).verdict is _VERDICT.HELD
    assert desk.ask(_B, 8, 20.0) == messages.Vote(_VERDICT.GRANTED, 7)


def test_late_renewal_after_a_release_is_refused(desk):
    """Guards against a vote for an owner that has already stopped."""
    desk.ask(_A, 7, 0.0)
    desk.release(_A, 7, 10.0)
    assert desk.ask(_A, 7, 20.0).verdict is _VERDICT.LOW_EPOCH


def test_late_release_does_not_free_a_newer_vote(desk):
    """Guards against a delayed release that ends a later ownership."""
    desk.ask(_A, 7, 0.0)
    desk.release(_A, 7, 10.0)
    desk.ask(_A, 8, 20.0)
    desk.release(_A, 7, 30.0)
    desk.release(_B, 8, 30.0)
    assert desk.ask(_B, 9, 40.0).verdict is _VERDICT.HELD


def test_unused_vote_lets_the_owner_renew_again(desk):
    """Guards against a vote that a failed candidate takes for good."""
    desk.ask(_A, 7, 0.0)
    desk.ask(_B, 8, 4_000.0)
    desk.release(_B, 8, 4_010.0, is_unused=True)
    assert desk.ask(_A, 7, 4_020.0).verdict is _VERDICT.GRANTED
