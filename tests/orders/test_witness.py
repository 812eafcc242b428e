"""Tests of a voter's memory at its limits."""

from pomeloward.orders import horizon
from pomeloward.orders import messages
from pomeloward.orders import recovery
from pomeloward.orders import witness

_ELECTORATE = (tuple("abcdefg"),)


def _intent(name=b"order", attempt=1, epoch=1, issued=None):
    order = messages.Order("r/0", name, "team", b"body", issued, 0)
    return messages.RecordIntent(
        order=order,
        attempt=attempt,
        term=messages.Term(epoch, 1),
        owner_now_ms=5_000.0,
    )


def _read(voter, now_ms, epoch=2, after=0):
    question = messages.ReadHistory(
        partition="r/0", term=messages.Term(epoch, 1), after=after
    )
    return voter.read(question, now_ms)


def test_a_restarted_voter_records_nothing_at_first():
    """Guards against an intent of an epoch that the voter had sealed.

    The restart forgets the seal; intents of the old epoch may arrive until
    ``INTENT_MS`` after their question.
    """
    voter = witness.Witness(0.0)
    assert not voter.record(_intent(), horizon.INTENT_MS)
    assert voter.record(_intent(), horizon.INTENT_MS * 1.02)


def test_a_read_voter_refuses_earlier_epochs():
    """Guards against an intent that a successor did not read."""
    voter = witness.Witness(-1e9)
    assert _read(voter, 0.0, epoch=2).is_end
    assert not voter.record(_intent(epoch=1), 1.0)
    assert voter.record(_intent(epoch=2), 1.0)
    assert _read(voter, 2.0, epoch=1) is None
    again = messages.Term(2, 7)
    question = messages.ReadHistory(partition="r/0", term=again, after=0)
    assert voter.read(question, 3.0) is None


def test_a_full_memory_refuses_and_keeps_what_it_has():
    """Guards against eviction, which would make a memory incomplete."""
    voter = witness.Witness(-1e9)
    for attempt in range(witness.MAX_INTENTS):
        assert voter.record(_intent(attempt=attempt), 0.0)
    assert not voter.record(_intent(attempt=-1), 0.0)
    known = recovery.Recovery(_ELECTORATE)
    after = 0
    while not (part := _read(voter, 1.0, after=after)).is_end:
        known.add("a", part, 1.0)
        after = part.last
    known.add("a", part, 1.0)
    attempts = known.entries(0.0, 0.0)[b"order"].attempts
    assert len(attempts) == witness.MAX_INTENTS


def test_clocks_count_only_with_a_complete_history():
    """Guards against judging the age of ids whose runs may be missing."""
    known = recovery.Recovery(_ELECTORATE)
    for number, name in enumerate("abcde"):
        voter = witness.Witness(-1e9)
        voter.record(_intent(), 0.0)
        assert known.clocks() == {}, number
        known.add(name, _read(voter, 100.0), 100.0)
    assert known.clocks() == {messages.Term(1, 1): 5_000.0}


def test_a_memory_becomes_complete_after_the_horizon():
    """Guards against counting a voter that restarted within the horizon."""
    voter = witness.Witness(0.0)
    assert not _read(voter, horizon.HORIZON_MS).is_complete
    assert _read(voter, horizon.memory_ms(horizon.HORIZON_MS)).is_complete
