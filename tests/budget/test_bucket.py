"""Tests of one bucket's boundaries in time."""

from pomeloward.budget import bucket
from pomeloward.budget import lender
from pomeloward.budget import messages
from pomeloward.budget import portion

_KEY = ("h", 1)


def test_lent_tokens_block_refill_until_their_end():
    """Guards against a second burst right after the end of a loan.

    A borrower may spend 40 tokens just before 198 ms; the lender must not
    have another 40 at 203 ms.
    """
    lending = bucket.Bucket(200.0, 40.0, -1e6, 0.0)
    assert lending.lend(_KEY, 50, 0, 0.0) == 40
    lending.advance(203.0)
    assert lending.level_requests < 1


def test_a_new_owner_waits_for_loans_of_the_one_before():
    """Guards against lending while unknown loans may still be spent."""
    owner = lender.Lender()
    owner.acquire("r/0", None, 0.0)
    question = messages.TakeTokens(
        number=1, team="t", region="r", portion=0, need=50, extra=0
    )
    whole = portion.Portion("t", "r", 0, 200.0, 40.0)
    answer = owner.lend("r/0", whole, "h", question, 203.0)
    assert answer.granted == 0
    assert 0 < answer.retry_after_ms <= 5


def test_a_repeated_question_gets_the_first_answer():
    """Guards against lending twice when an answer was lost."""
    lending = bucket.Bucket(1.0, 10.0, -1e6, 0.0)
    assert lending.lend(_KEY, 4, 0, 0.0) == 4
    assert lending.lend(_KEY, 4, 0, 1.0) == 4
    assert lending.outstanding_requests == 4


def test_late_and_repeated_reports_return_tokens_once():
    """Guards against minting tokens out of duplicated reports."""
    lending = bucket.Bucket(0.0, 10.0, 0.0, 0.0)
    lending.tune(1_000.0, 10.0, 0.0)
    lending.advance(10.0)
    lending.tune(0.0, 10.0, 10.0)
    lending.lend(_KEY, 8, 0, 10.0)
    for spent, kept in ((3, 0), (1, 7), (3, 0)):
        lending.report(_KEY, spent, kept, 11.0)
    assert lending.level_requests == 7
    assert lending.outstanding_requests == 0
