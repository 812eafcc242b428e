"""Tests of the votes of one partition as its holder counts them."""

from pomeloward import model
from pomeloward.ownership import events
from pomeloward.ownership import holder
from pomeloward.ownership import inbox
from pomeloward.ownership import messages
from pomeloward.ownership import tenure

_HOSTS = tuple(model.HostId(name) for name in "abcde")
_OLD, _NEW = {1: _HOSTS[:3]}, {2: _HOSTS[2:]}
_REGION = model.RegionId("south")


def _owner(electorate, voters, previous=0, asked_ms=0.0) -> tenure.Tenure:
    made = tenure.Tenure(0, 9, electorate, 0.0)
    for voter in voters:
        made.grant(model.HostId(voter), previous, asked_ms)
    made.is_owner = True
    return made


def test_each_roster_needs_a_majority():
    """Guards against an owner by the majority of one roster of two."""
    assert not _owner(_OLD | _NEW, "ab").is_valid(10.0)
    assert not _owner(_OLD | _NEW, "de").is_valid(10.0)
    assert _owner(_OLD | _NEW, "abde").is_valid(10.0)
    assert _owner(_OLD | _NEW, "acd").is_valid(10.0)


def test_even_number_of_voters_needs_more_than_half():
    """Guards against two owners with one half of the voters each."""
    assert not _owner({1: _HOSTS[:4]}, "ab").is_valid(10.0)
    assert _owner({1: _HOSTS[:4]}, "abc").is_valid(10.0)


def test_added_roster_has_one_lease_to_be_won():
    """Guards against losing every partition with each new roster."""
    owner = _owner(_OLD, "abc")
    owner.configure(_OLD | _NEW, 1_000.0)
    assert owner.is_valid(2_900.0)
    for now_ms in (2_000.0, 3_900.0):
        for voter in _HOSTS[:3]:
            owner.grant(voter, 0, now_ms)
    assert owner.is_valid(3_999.0)
    assert not owner.is_valid(4_000.0)


def test_replaced_roster_ends_ownership_at_once():
    """Guards against an owner whose voters all were retired."""
    owner = _owner(_OLD, "abc")
    owner.configure(_NEW, 1_000.0)
    assert not owner.is_valid(1_000.0)


def test_predecessor_is_proven_by_a_majority_of_each_roster_only():
    """Guards against a state that is older than the last owner."""
    assert _owner(_OLD, "ab", previous=7).proven_previous(10.0) == 7
    owner = _owner(_OLD, "a", previous=7)
    owner.grant(model.HostId("b"), 8, 0.0)
    owner.grant(model.HostId("c"), 0, 0.0)
    assert owner.proven_previous(10.0) == 0
    both = _owner(_OLD | _NEW, "ab", previous=7)
    both.grant(model.HostId("d"), 0, 0.0)
    both.grant(model.HostId("e"), 0, 0.0)
    assert both.proven_previous(10.0) == 0


def _grant(count=1) -> messages.VoteAnswer:
    vote = messages.Vote(messages.Verdict.GRANTED)
    return messages.VoteAnswer(version=model.Version(1), votes=(vote,) * count)


def test_late_answer_does_not_revive_a_lapsed_owner():
    """Guards against an owner that was without its right for a while."""
    held = holder.Holder()
    held.stand(0, 9, _OLD, 0.0, is_probing=False)
    bid = (messages.Bid(0, 9),)
    for voter in "ab":
        held.answered(model.HostId(voter), bid, _grant(), 0.0, 10.0)
    assert held.holds(0, 2_969.0) == 9
    happened = held.answered(
        model.HostId("a"), bid, _grant(), 2_000.0, 2_971.0
    )
    held.answered(model.HostId("b"), bid, _grant(), 2_000.0, 2_971.0)
    assert happened == [events.Lost(0, 9)]
    assert held.holds(0, 2_971.0) is None


def test_candidate_without_hope_gives_its_votes_back():
    """Guards against votes that a losing candidate keeps from the winner."""
    held = holder.Holder()
    held.stand(0, 9, _OLD, 0.0, is_probing=False)
    bid = (messages.Bid(0, 9),)
    held.answered(model.HostId("a"), bid, _grant(), 0.0, 10.0)
    vote = messages.Vote(messages.Verdict.HELD, 400)
    refusal = messages.VoteAnswer(version=model.Version(1), votes=(vote,))
    assert not held.answered(model.HostId("b"), bid, refusal, 0.0, 10.0)
    (failed,) = held.answered(model.HostId("c"), bid, refusal, 0.0, 10.0)
    assert failed == events.Failed(0, 9, frozenset(_HOSTS[:3]), 400.0)


def test_state_is_taken_only_from_the_owner_directly_before():
    """Guards against a state that is old, foreign, incomplete or late."""
    states = {"budget": bytes(inbox.PART_BYTES), "orders": b"x"}
    parts = inbox.split(_REGION, 0, 7, states)
    assert len(parts) == 2

    def received(host="a", count=2) -> inbox.Inbox:
        made = inbox.Inbox()
        for part in parts[:count]:
            made.put(model.HostId(host), part, 0.0)
        return made

    assert received().take(0, 7, 100.0) == states
    assert received().take(0, 8, 100.0) == {}
    assert received().take(0, 0, 100.0) == {}
    assert received(count=1).take(0, 7, 100.0) == {}
    assert received().take(0, 7, inbox.STATE_LIFETIME_MS) == {}
    mixed = received(count=1)
    assert not mixed.put(model.HostId("b"), parts[1], 0.0)
