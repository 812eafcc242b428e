"""Tests of the decisions about attempts, retries and hedges."""

import httpx
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pomeloward import model
from pomeloward import service
from pomeloward.dispatch import evidence
from pomeloward.dispatch import failure
from pomeloward.dispatch import hedgebudget
from pomeloward.dispatch import retrybudget
from pomeloward.dispatch import retryrule
from tests import seeds

_ERRORS = [
    httpx.ConnectError("x"),
    httpx.ConnectTimeout("x"),
    httpx.PoolTimeout("x"),
    httpx.ReadError("x"),
    httpx.ReadTimeout("x"),
    httpx.WriteError("x"),
    httpx.RemoteProtocolError("x"),
    failure.PermissionLapsed("x"),
]


@pytest.mark.parametrize("error", _ERRORS)
def test_proof_only_before_the_first_byte(error):
    """Guards against a retry of what may have run."""
    assert failure.classify_error(error, is_sent=True).proof is None
    before = failure.classify_error(error, is_sent=False)
    assert before.proof is not None
    assert before.refusal.run_state is model.RunState.NOT_RUN


def test_only_the_contract_makes_a_refusal_a_proof():
    """Guards against trusting any 503 of a target that did run."""
    assert failure.classify_status(200, None) is None
    assert failure.classify_status(404, "not_run") is None
    assert failure.classify_status(503, None).proof is None
    assert failure.classify_status(500, "not_run").proof is None
    shed = failure.classify_status(503, "not_run")
    assert shed.outcome is service.Outcome.SHED
    assert shed.proof.reason is model.NotRunReason.REFUSED_BY_CONTRACT


@hypothesis.given(
    is_idempotent=strategies.booleans(),
    can_replay=strategies.booleans(),
    attempts=strategies.integers(1, 5),
    has_proof=strategies.booleans(),
)
def test_retry_of_an_order_needs_a_proof(
    is_idempotent, can_replay, attempts, has_proof
):
    """Guards against a second run of an order."""
    failed = failure.classify_status(503, "not_run" if has_proof else None)
    retried = retryrule.should_retry(
        failed,
        is_idempotent,
        can_replay,
        attempts,
        retrybudget.RetryBudget(0.0),
        0.0,
        1_000.0,
    )
    assert retried == (
        (is_idempotent or has_proof)
        and can_replay
        and attempts < retryrule.MAX_ATTEMPTS
    )


class EvidenceMachine(stateful.RuleBasedStateMachine):
    """Compares the evidence with the set of attempts that may have run."""

    def __init__(self):
        super().__init__()
        self.evidence = evidence.RunEvidence()
        self.may_have_run = 0

    @stateful.rule()
    def send(self):
        self.evidence.mark_sent()
        self.may_have_run += 1

    @stateful.precondition(lambda self: self.may_have_run)
    @stateful.rule()
    def prove(self):
        reason = model.NotRunReason.CANCELLED_BEFORE_START
        self.evidence.prove_not_run(model.NotRunProof(reason, "x"))
        self.may_have_run -= 1

    @stateful.invariant()
    def proof_only_without_an_open_attempt(self):
        """Guards against `not run` while an attempt may have run."""
        assert (self.evidence.proof is not None) == (not self.may_have_run)


def test_evidence_machine():
    """Guards against a proof that covers only some attempts."""
    seeds.run_machine(EvidenceMachine)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.floats(0, 500)),
        max_size=200,
    )
)
def test_retries_stay_within_a_tenth_and_three_per_second(steps):
    """Guards against retries that multiply an overload."""
    budget = retrybudget.RetryBudget(0.0)
    now_ms = 0.0
    requests = 0
    retries = 0
    for is_request, gap_ms in steps:
        now_ms += gap_ms
        if is_request:
            budget.on_request()
            requests += 1
        elif budget.try_take(now_ms):
            retries += 1
        # The budget starts with the 3 retries of its first second.
        allowed = 3 + requests * 0.1 + now_ms / 1_000 * 3
        assert retries <= allowed + 1e-6


@hypothesis.given(requests=strategies.integers(0, 500))
def test_hedges_stay_within_a_twentieth(requests):
    """Guards against hedging that adds load beyond its budget."""
    budget = hedgebudget.HedgeBudget()
    hedges = 0
    for _ in range(requests):
        budget.on_request()
        hedges += budget.try_take()
    assert hedges <= requests * 0.05


def test_hedge_waits_for_the_usual_latency():
    """Guards against hedging requests that are as fast as usual."""
    budget = hedgebudget.HedgeBudget()
    for number in range(100):
        budget.on_request()
        budget.on_latency(20.0 if number % 10 else 200.0)
    assert budget.delay_ms is not None
    assert budget.delay_ms >= 20.0
    fast = hedgebudget.HedgeBudget()
    for _ in range(100):
        fast.on_request()
        fast.on_latency(0.5)
    assert fast.delay_ms == 10.0


def test_lapsed_run_permit_is_not_tried_again():
    """Guards against attempts under a permit that never comes back."""
    lapsed = failure.PermissionLapsed("x", is_final=True)
    failed = failure.classify_error(lapsed, is_sent=False)
    assert failed.proof is not None
    budget = retrybudget.RetryBudget(0.0)
    assert not retryrule.should_retry(
        failed, False, True, 1, budget, 0.0, 1_000.0
    )
    slot = failure.classify_error(failure.PermissionLapsed("x"), False)
    assert retryrule.should_retry(slot, False, True, 1, budget, 0.0, 1_000.0)
