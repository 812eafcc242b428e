"""Tests of hedged attempts, with a sender that sleeps."""

import anyio
import pytest

from pomeloward import catalog
from pomeloward import model
from pomeloward import service
from pomeloward.dispatch import answer
from pomeloward.dispatch import failedattempt
from pomeloward.dispatch import failure
from pomeloward.dispatch import hedgebudget
from pomeloward.dispatch import hedger
from pomeloward.dispatch import request

pytestmark = pytest.mark.anyio


class _Hold:
    def __init__(self, target):
        self.target = target
        self.outcomes = []

    def is_valid(self, now_ms):
        return True

    def release(self, outcome, latency_ms):
        self.outcomes.append(outcome)


class _Answer(answer.Answer):
    def __init__(self, hold):
        self.target = hold.target
        self.hold = hold
        self.is_discarded = False

    async def discard(self):
        self.is_discarded = True
        self.hold.release(service.Outcome.CANCELLED, 0.0)


class _Sender:
    def __init__(self, delays_s, failing=()):
        self.delays_s = delays_s
        self.failing = failing
        self.answers = []

    async def send(self, wanted, hold):
        try:
            await anyio.sleep(self.delays_s[hold.target])
        except BaseException:
            hold.release(service.Outcome.CANCELLED, 0.0)
            raise
        if hold.target in self.failing:
            hold.release(service.Outcome.ERROR, 0.0)
            failed = failure.classify_status(500, None)
            return failedattempt.FailedAttempt(hold.target, failed)
        made = _Answer(hold)
        self.answers.append(made)
        return made


class _Spares:
    def __init__(self):
        self.holds = []

    def try_acquire(self, service_id, avoid, route, team):
        assert avoid == {"slow"}
        self.holds.append(_Hold("spare"))
        return self.holds[-1]


class _Body:
    can_replay = True
    is_ended = True
    can_share = True


def _request():
    route = catalog.Route(
        model.RouteId("r"), model.ServiceId("s"), path_prefix="/"
    )
    return request.TargetRequest(
        model.RequestId("q"),
        route,
        model.TeamId("t"),
        "GET",
        b"/",
        [],
        _Body(),
        0.0,
        1e9,
    )


def _budget():
    budget = hedgebudget.HedgeBudget()
    for _ in range(100):
        budget.on_request()
        budget.on_latency(1.0)
    return budget


async def _run(sender):
    spares = _Spares()
    first = _Hold("slow")
    hedging = hedger.Hedger(sender, spares)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(hedging.run)
        with anyio.fail_after(5):
            result = await hedging.send(_request(), first, _budget())
        await anyio.sleep(0.05)
        # Seen before the end of the hedger, which would end attempts too.
        outcomes = [list(hold.outcomes) for hold in [first, *spares.holds]]
        tasks.cancel_scope.cancel()
    return result, outcomes[0], outcomes[1:]


async def test_second_attempt_wins_and_first_is_cancelled():
    """Guards against a caller that waits for a slow target."""
    sender = _Sender({"slow": 3.0, "spare": 0.01})
    result, first, spares = await _run(sender)
    assert result.target == "spare"
    assert first == [service.Outcome.CANCELLED]
    assert spares == [[]]
    assert not result.is_discarded


async def test_fast_answer_starts_no_second_attempt():
    """Guards against hedges that are not needed."""
    result, _, spares = await _run(_Sender({"slow": 0.0}))
    assert result.target == "slow"
    assert spares == []


async def test_first_answer_ends_the_second_attempt():
    """Guards against a slot that a lost hedge keeps."""
    sender = _Sender({"slow": 0.1, "spare": 3.0})
    result, _, spares = await _run(sender)
    assert result.target == "slow"
    assert spares == [[service.Outcome.CANCELLED]]


async def test_failed_first_attempt_waits_for_the_second():
    """Guards against a failure while a good answer is on its way."""
    sender = _Sender({"slow": 0.06, "spare": 0.2}, failing={"slow"})
    result, _, _ = await _run(sender)
    assert result.target == "spare"


async def test_ended_request_ends_both_attempts():
    """Guards against attempts that outlive their caller."""
    sender = _Sender({"slow": 3.0, "spare": 3.0})
    spares = _Spares()
    first = _Hold("slow")
    hedging = hedger.Hedger(sender, spares)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(hedging.run)
        with anyio.move_on_after(0.2):
            await hedging.send(_request(), first, _budget())
        await anyio.sleep(0.05)
        assert first.outcomes == [service.Outcome.CANCELLED]
        assert spares.holds[0].outcomes == [service.Outcome.CANCELLED]
        tasks.cancel_scope.cancel()
