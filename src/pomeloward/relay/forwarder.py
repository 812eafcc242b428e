"""Takes a request to a target, and to another one if that fails."""

import anyio
import anyio.abc
from anyio.streams import memory
import expression

from pomeloward import balance
from pomeloward import model
from pomeloward import retry
from pomeloward.relay import admittedrequest
from pomeloward.relay import attemptresult
from pomeloward.relay import forwardingstate
from pomeloward.relay import requestlogentry
from pomeloward.relay import slotallocator
from pomeloward.relay import targetclient
from pomeloward.relay import targetresponse

# Targets that could not be reached got nothing, so that trying the next
# one adds no load; the bound only ends a search through a dead fleet.
_MAX_UNSENT = 4

Forwarded = expression.Result[targetresponse.TargetResponse, model.Refusal]
_UNREACHABLE = balance.Outcome.UNREACHABLE
_Sending = memory.MemoryObjectSendStream[attemptresult.AttemptResult]
_Receiving = memory.MemoryObjectReceiveStream[attemptresult.AttemptResult]


class Forwarder:
    """Sends a call to targets until one answers well.

    A request that may run more than once goes to a second target when the
    first fails, or is silent for longer than usual; the first good answer
    counts. Any other request goes to a second target only with a proof that
    it has not run.
    """

    def __init__(
        self,
        placement: slotallocator.SlotAllocator,
        balancer: balance.Balancer,
        sender: targetclient.TargetClient,
        budgets: retry.ServiceRetryBudgets,
    ) -> None:
        self._placement = placement
        self._balancer = balancer
        self._sender = sender
        self._budgets = budgets

    async def forward(
        self,
        call: admittedrequest.AdmittedRequest,
        trace: requestlogentry.RequestLogEntry,
    ) -> Forwarded:
        """Return the answer, or the refusal that is true of the request."""
        progress = forwardingstate.ForwardingState(call)
        self._budgets.budget_for(call.service).refill_for_request()
        with anyio.CancelScope(deadline=call.deadline_ms / 1_000):
            send, receive = anyio.create_memory_object_stream[
                attemptresult.AttemptResult
            ](call.route.max_attempts + _MAX_UNSENT + 1)
            with send, receive:
                async with anyio.create_task_group() as tasks:
                    forwarded = await self._until_answered(
                        progress, trace, tasks, send, receive
                    )
                    tasks.cancel_scope.cancel()
                return forwarded
        return self._timed_out(progress)

    async def _until_answered(
        self,
        progress: forwardingstate.ForwardingState,
        trace: requestlogentry.RequestLogEntry,
        tasks: anyio.abc.TaskGroup,
        send: _Sending,
        receive: _Receiving,
    ) -> Forwarded:
        call = progress.request
        placed = await self._placement.acquire(call, progress.tried_targets)
        if placed.is_error():
            return expression.Error(placed.error)
        trace.waited_ms = model.now_ms() - call.arrived_at_ms
        self._start(progress, placed.ok, trace, tasks, send)
        while True:
            result = await self._next(progress, trace, tasks, send, receive)
            progress.open_count -= 1
            progress.last_result = result
            if result.is_success and result.response is not None:
                return expression.Ok(result.response)
            if result.ending is _UNREACHABLE:
                progress.unreachable_count += 1
                progress.sent_count -= 1
            again = await self._again(progress, result)
            if again is not None:
                self._start(progress, again, trace, tasks, send)
            if not progress.open_count:
                return self._given_up(progress, result)

    async def _next(
        self,
        progress: forwardingstate.ForwardingState,
        trace: requestlogentry.RequestLogEntry,
        tasks: anyio.abc.TaskGroup,
        send: _Sending,
        receive: _Receiving,
    ) -> attemptresult.AttemptResult:
        """Wait for a result; start a second attempt beside a late one.

        While targets are mostly idle it starts early enough to meet the
        objective, otherwise only when the first attempt is silent.
        """
        if progress.open_count == 1 and self._may_repeat(progress):
            latency = self._balancer.latency_estimator(progress.request.route)
            began_s = anyio.current_time()
            for delay_ms, is_early in (
                (latency.backup_delay_ms, True),
                (latency.silence_threshold_ms, False),
            ):
                due_s = began_s + delay_ms / 1_000
                with anyio.move_on_after(due_s - anyio.current_time()):
                    return await receive.receive()
                run = self._backup(progress, is_early)
                if run is not None:
                    self._start(progress, run, trace, tasks, send)
                    break
        return await receive.receive()

    def _backup(
        self, progress: forwardingstate.ForwardingState, is_early: bool
    ) -> balance.Attempt | None:
        """Place a second attempt while the first one is open."""
        call = progress.request
        budget = self._budgets.budget_for(call.service)
        if not self._may_repeat(progress) or not self._has_time(call):
            return None
        if is_early and not (
            budget.is_half_full
            and self._balancer.has_spare_capacity(call.service)
        ):
            return None
        if not budget.has_tokens(1.0):
            return None
        run = self._placement.try_acquire(call, progress.tried_targets)
        if run is not None:
            budget.try_take_token()
        return run

    async def _again(
        self,
        progress: forwardingstate.ForwardingState,
        result: attemptresult.AttemptResult,
    ) -> balance.Attempt | None:
        """Place another attempt after a failed one, if there may be one."""
        call = progress.request
        is_safe = result.proof is not None or call.can_repeat
        if not is_safe or not call.body.can_replay:
            return None
        if result.ending is _UNREACHABLE:
            if progress.unreachable_count >= _MAX_UNSENT:
                return None
        elif not self._may_send_again(progress):
            return None
        if progress.open_count:
            # Another attempt may answer while this one would wait in line.
            run = self._placement.try_acquire(call, progress.tried_targets)
        else:
            placed = await self._placement.acquire(
                call, progress.tried_targets
            )
            run = placed.ok if placed.is_ok() else None
        if run is not None and result.ending is not _UNREACHABLE:
            self._budgets.budget_for(call.service).try_take_token()
        return run

    def _may_send_again(
        self, progress: forwardingstate.ForwardingState
    ) -> bool:
        call = progress.request
        if progress.sent_count >= call.route.max_attempts:
            return False
        return self._budgets.budget_for(call.service).has_tokens(1.0)

    def _may_repeat(self, progress: forwardingstate.ForwardingState) -> bool:
        call = progress.request
        return (
            call.can_repeat and progress.sent_count < call.route.max_attempts
        )

    def _has_time(self, call: admittedrequest.AdmittedRequest) -> bool:
        mean_ms = self._balancer.latency_estimator(call.route).mean_ms
        return call.deadline_ms - model.now_ms() >= mean_ms

    def _start(
        self,
        progress: forwardingstate.ForwardingState,
        run: balance.Attempt,
        trace: requestlogentry.RequestLogEntry,
        tasks: anyio.abc.TaskGroup,
        send: _Sending,
    ) -> None:
        progress.open_count += 1
        progress.sent_count += 1
        progress.tried_targets.add(run.target_id)
        tasks.start_soon(self._attempt, progress, run, trace, send)

    async def _attempt(
        self,
        progress: forwardingstate.ForwardingState,
        run: balance.Attempt,
        trace: requestlogentry.RequestLogEntry,
        send: _Sending,
    ) -> None:
        """Run one attempt; its slot is always given back."""
        call = progress.request
        target = self._balancer.find_target(run.service_id, run.target_id)
        ending = balance.Outcome.ABANDONED
        detail = ""
        try:
            if target is None:
                result = attemptresult.AttemptResult(
                    run,
                    balance.Outcome.UNREACHABLE,
                    "gone",
                    model.NotRunProof(
                        model.NotRunReason.NOT_SENT, "target is gone"
                    ),
                )
            else:
                result = await self._sender.send(
                    call, run, target, progress.evidence
                )
            ending, detail = result.ending, result.detail
            send.send_nowait(result)
        except anyio.get_cancelled_exc_class():
            if model.now_ms() >= call.deadline_ms:
                ending = balance.Outcome.SILENT
            raise
        finally:
            took_ms = model.now_ms() - run.started_at_ms
            trace.attempts.append(
                f"{run.target_id} {run.selection_reason} {ending.value} "
                f"{took_ms:.0f}ms {detail}"
            )
            self._placement.release(run, ending, call)

    def _given_up(
        self,
        progress: forwardingstate.ForwardingState,
        result: attemptresult.AttemptResult,
    ) -> Forwarded:
        """Pass on the target's own failure, or refuse."""
        proof = progress.evidence.proof
        if proof is not None:
            return expression.Error(
                model.Refusal(
                    model.ErrorKind.NO_CAPACITY,
                    f"not run: {result.detail}",
                    retry_after_ms=balance.SHED_PAUSE_MS,
                )
            )
        if result.response is not None:
            return expression.Ok(result.response)
        return expression.Error(
            model.Refusal(model.ErrorKind.TARGET_FAILED, result.detail)
        )

    @staticmethod
    def _timed_out(progress: forwardingstate.ForwardingState) -> Forwarded:
        if progress.evidence.proof is None:
            kind = model.ErrorKind.TARGET_TIMEOUT
        else:
            kind = model.ErrorKind.QUEUE_TIMEOUT
        return expression.Error(
            model.Refusal(kind, "the time for the request is over")
        )
