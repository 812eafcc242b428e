"""Sends requests to targets, with retries and hedging."""

import anyio
import expression

from pomeloward import model
from pomeloward import observability
from pomeloward import queue
from pomeloward import service
from pomeloward.dispatch import answer as answers
from pomeloward.dispatch import budgets
from pomeloward.dispatch import failed as faileds
from pomeloward.dispatch import failedattempt
from pomeloward.dispatch import hedger
from pomeloward.dispatch import request as requests
from pomeloward.dispatch import retryrule
from pomeloward.dispatch import sender
from pomeloward.dispatch import steps

DispatchResult = expression.Result[answers.Answer, faileds.Failed]

# Longest wait for a slot after an attempt that may have run.
_RETRY_WAIT_MS = 500.0


class Dispatcher:
    """The step from an admitted request to the head of its answer.

    ``send`` waits for a slot, sends, and tries again elsewhere as long as
    that is safe and within the budgets.
    """

    def __init__(
        self,
        admission: steps.Admission,
        spares: steps.SpareSlots,
        attempts: sender.Sender,
        journal: observability.DecisionJournal,
    ) -> None:
        self._admission = admission
        self._hedger = hedger.Hedger(attempts, spares)
        self._sender = attempts
        self._journal = journal
        self._budgets = budgets.Budgets()

    async def run(self) -> None:
        """Start hedged attempts until cancelled."""
        await self._hedger.run()

    async def send(self, request: requests.TargetRequest) -> DispatchResult:
        """Return the answer's head, or why there is none."""
        ticket = queue.Ticket(
            service=request.route.service,
            team=request.team,
            arrived_ms=request.arrived_at_ms,
            deadline_ms=request.deadline_ms,
            is_deferrable=request.route.is_deferrable,
            weight=request.weight,
            route=request.route.id,
        )
        self._budgets.retry(request.route.service).on_request()
        self._budgets.hedge(request.route.service).on_request()
        with anyio.CancelScope(deadline=request.deadline_ms / 1_000):
            return await self._until_answered(request, ticket)
        return self._timed_out(request)

    async def _until_answered(
        self, request: requests.TargetRequest, ticket: queue.Ticket
    ) -> DispatchResult:
        budget = self._budgets.retry(ticket.service)
        attempts = 0
        last: failedattempt.FailedAttempt | None = None
        while True:
            acquired = await self._acquire(ticket, last)
            if acquired.is_error() and last is not None:
                return await self._give_up(request, last)
            if acquired.is_error():
                return self._refused(request, acquired.error)
            attempts += 1
            if last is not None:
                await last.discard()
            result = await self._attempt(request, acquired.ok)
            if isinstance(result, answers.Answer):
                return expression.Ok(result)
            now_ms = anyio.current_time() * 1_000
            failure = result.failure
            self._note(request, result, now_ms)
            if not retryrule.should_retry(
                failure,
                request.route.is_idempotent,
                request.body.can_replay,
                attempts,
                budget,
                now_ms,
                request.deadline_ms,
            ):
                return await self._give_up(request, result)
            last = result
            if failure.proof is not None:
                await result.discard()
            self._return_to_queue(ticket, result, now_ms)

    async def _acquire(
        self,
        ticket: queue.Ticket,
        last: failedattempt.FailedAttempt | None,
    ) -> expression.Result[service.SlotHold, model.Refusal]:
        """Wait for a slot, with an error answer in hand or not."""
        try:
            return await self._admission.acquire(ticket)
        except BaseException:
            if last is not None:
                await last.discard()
            raise

    def _return_to_queue(
        self,
        ticket: queue.Ticket,
        failed: failedattempt.FailedAttempt,
        now_ms: float,
    ) -> None:
        """Let a ticket wait for another target.

        After the last target they all count again. A request that may have
        run waits only shortly, since its caller has an answer to get.
        """
        ticket.avoid.add(failed.target)
        if len(ticket.avoid) >= self._sender.target_count(ticket.service):
            ticket.avoid.clear()
        if failed.failure.proof is None:
            ticket.deadline_ms = min(
                ticket.deadline_ms, now_ms + _RETRY_WAIT_MS
            )

    async def _attempt(
        self, request: requests.TargetRequest, hold: steps.SlotHold
    ) -> answers.Answer | failedattempt.FailedAttempt:
        budget = self._budgets.hedge(request.route.service)
        if not request.route.is_idempotent or not request.body.can_replay:
            result = await self._sender.send(request, hold)
        else:
            result = await self._hedger.send(request, hold, budget)
        if isinstance(result, answers.Answer):
            budget.on_latency(result.latency_ms)
        return result

    async def _give_up(
        self,
        request: requests.TargetRequest,
        last: failedattempt.FailedAttempt,
    ) -> DispatchResult:
        """Pass on the target's own error answer, or else a refusal."""
        answer = last.answer
        is_shed = last.failure.outcome is service.Outcome.SHED
        if answer is not None and not is_shed and not answer.is_unusable:
            return expression.Ok(answer)
        await last.discard()
        return self._refused(request, last.failure.refusal)

    def _refused(
        self, request: requests.TargetRequest, refusal: model.Refusal
    ) -> DispatchResult:
        """Make sure that a refusal is true about the whole request."""
        proof = request.evidence.proof
        if proof is None and refusal.run_state is model.RunState.NOT_RUN:
            refusal = model.Refusal(
                model.ErrorKind.TARGET_FAILED,
                f"an earlier attempt may have run; then: {refusal.detail}",
            )
        return expression.Error(faileds.Failed(refusal, proof))

    def _timed_out(self, request: requests.TargetRequest) -> DispatchResult:
        if request.evidence.proof is None:
            kind = model.ErrorKind.TARGET_TIMEOUT
        else:
            kind = model.ErrorKind.QUEUE_TIMEOUT
        refusal = model.Refusal(
            kind, "the deadline has passed", retry_after_ms=1_000
        )
        return self._refused(request, refusal)

    def _note(
        self,
        request: requests.TargetRequest,
        result: failedattempt.FailedAttempt,
        now_ms: float,
    ) -> None:
        self._journal.record(
            observability.Decision(
                at_ms=now_ms,
                kind="attempt_failed",
                reason=result.failure.refusal.detail,
                request=request.id,
                team=request.team,
                target=result.target,
            )
        )
