"""Takes a request to a target, and to another one if that fails."""

import anyio
import anyio.abc
from anyio.streams import memory
import expression

from pomeloward import balance
from pomeloward import model
from pomeloward import retry
from pomeloward.relay import answer as answers
from pomeloward.relay import call as calls
from pomeloward.relay import placement as placements
from pomeloward.relay import progress as progresses
from pomeloward.relay import result as results
from pomeloward.relay import sender as senders
from pomeloward.relay import trace as traces

# Targets that could not be reached got nothing, so that trying the next
# one adds no load; the bound only ends a search through a dead fleet.
_MAX_UNSENT = 4

Forwarded = expression.Result[answers.Answer, model.Refusal]
_UNREACHABLE = balance.Outcome.UNREACHABLE
_Sending = memory.MemoryObjectSendStream[results.Result]
_Receiving = memory.MemoryObjectReceiveStream[results.Result]


class Forwarder:
    """Sends a call to targets until one answers well.

    A request that may run more than once goes to a second target when the
    first fails, or is silent for longer than usual; the first good answer
    counts. Any other request goes to a second target only with a proof that
    it has not run.
    """

    def __init__(
        self,
        placement: placements.Placement,
        balancer: balance.Balancer,
        sender: senders.Sender,
        budgets: retry.RetryBudgets,
    ) -> None:
        self._placement = placement
        self._balancer = balancer
        self._sender = sender
        self._budgets = budgets

    async def forward(
        self, call: calls.Call, trace: traces.Trace
    ) -> Forwarded:
        """Return the answer, or the refusal that is true of the request."""
        progress = progresses.Progress(call)
        self._budgets.of(call.service).on_request()
        with anyio.CancelScope(deadline=call.end_ms / 1_000):
            send, receive = anyio.create_memory_object_stream[results.Result](
                call.route.max_attempts + _MAX_UNSENT + 1
            )
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
        progress: progresses.Progress,
        trace: traces.Trace,
        tasks: anyio.abc.TaskGroup,
        send: _Sending,
        receive: _Receiving,
    ) -> Forwarded:
        call = progress.call
        placed = await self._placement.place(call, progress.avoid)
        if placed.is_error():
            return expression.Error(placed.error)
        trace.waited_ms = model.now_ms() - call.arrived_ms
        self._start(progress, placed.ok, trace, tasks, send)
        while True:
            result = await self._next(progress, trace, tasks, send, receive)
            progress.open -= 1
            progress.last = result
            if result.is_good and result.answer is not None:
                return expression.Ok(result.answer)
            if result.ending is _UNREACHABLE:
                progress.unsent += 1
                progress.sent -= 1
            again = await self._again(progress, result)
            if again is not None:
                self._start(progress, again, trace, tasks, send)
            if not progress.open:
                return self._given_up(progress, result)

    async def _next(
        self,
        progress: progresses.Progress,
        trace: traces.Trace,
        tasks: anyio.abc.TaskGroup,
        send: _Sending,
        receive: _Receiving,
    ) -> results.Result:
        """Wait for a result; start a second attempt beside a late one.

        While targets are mostly idle it starts early enough to meet the
        objective, otherwise only when the first attempt is silent.
        """
        if progress.open == 1 and self._may_repeat(progress):
            latency = self._balancer.latency_estimator(progress.call.route)
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
        self, progress: progresses.Progress, is_early: bool
    ) -> balance.Attempt | None:
        """Place a second attempt while the first one is open."""
        call = progress.call
        budget = self._budgets.of(call.service)
        if not self._may_repeat(progress) or not self._has_time(call):
            return None
        if is_early and not (
            budget.is_half_full
            and self._balancer.has_spare_capacity(call.service)
        ):
            return None
        if not budget.has(1.0):
            return None
        run = self._placement.try_place(call, progress.avoid)
        if run is not None:
            budget.try_take()
        return run

    async def _again(
        self, progress: progresses.Progress, result: results.Result
    ) -> balance.Attempt | None:
        """Place another attempt after a failed one, if there may be one."""
        call = progress.call
        is_safe = result.proof is not None or call.can_repeat
        if not is_safe or not call.body.can_replay:
            return None
        if result.ending is _UNREACHABLE:
            if progress.unsent >= _MAX_UNSENT:
                return None
        elif not self._may_send_again(progress):
            return None
        if progress.open:
            # Another attempt may answer while this one would wait in line.
            run = self._placement.try_place(call, progress.avoid)
        else:
            placed = await self._placement.place(call, progress.avoid)
            run = placed.ok if placed.is_ok() else None
        if run is not None and result.ending is not _UNREACHABLE:
            self._budgets.of(call.service).try_take()
        return run

    def _may_send_again(self, progress: progresses.Progress) -> bool:
        call = progress.call
        if progress.sent >= call.route.max_attempts:
            return False
        return self._budgets.of(call.service).has(1.0)

    def _may_repeat(self, progress: progresses.Progress) -> bool:
        call = progress.call
        return call.can_repeat and progress.sent < call.route.max_attempts

    def _has_time(self, call: calls.Call) -> bool:
        mean_ms = self._balancer.latency_estimator(call.route).mean_ms
        return call.end_ms - model.now_ms() >= mean_ms

    def _start(
        self,
        progress: progresses.Progress,
        run: balance.Attempt,
        trace: traces.Trace,
        tasks: anyio.abc.TaskGroup,
        send: _Sending,
    ) -> None:
        progress.open += 1
        progress.sent += 1
        progress.avoid.add(run.target_id)
        tasks.start_soon(self._attempt, progress, run, trace, send)

    async def _attempt(
        self,
        progress: progresses.Progress,
        run: balance.Attempt,
        trace: traces.Trace,
        send: _Sending,
    ) -> None:
        """Run one attempt; its slot is always given back."""
        call = progress.call
        target = self._balancer.find_target(run.service_id, run.target_id)
        ending = balance.Outcome.ABANDONED
        detail = ""
        try:
            if target is None:
                result = results.Result(
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
            if model.now_ms() >= call.end_ms:
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
        self, progress: progresses.Progress, result: results.Result
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
        if result.answer is not None:
            return expression.Ok(result.answer)
        return expression.Error(
            model.Refusal(model.ErrorKind.TARGET_FAILED, result.detail)
        )

    @staticmethod
    def _timed_out(progress: progresses.Progress) -> Forwarded:
        if progress.evidence.proof is None:
            kind = model.ErrorKind.TARGET_TIMEOUT
        else:
            kind = model.ErrorKind.QUEUE_TIMEOUT
        return expression.Error(
            model.Refusal(kind, "the time for the request is over")
        )
