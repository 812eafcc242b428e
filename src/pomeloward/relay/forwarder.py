"""Forwards a request to a target, and to another one if that fails."""

import anyio
import anyio.abc
from anyio.streams import memory
import expression

from pomeloward import balance
from pomeloward import model
from pomeloward import quarantine
from pomeloward import retry
from pomeloward.relay import admittedrequest
from pomeloward.relay import attemptresult
from pomeloward.relay import bodyrest
from pomeloward.relay import forwarding
from pomeloward.relay import forwardingstate
from pomeloward.relay import pathmonitor
from pomeloward.relay import requestlogentry
from pomeloward.relay import slotallocator
from pomeloward.relay import targetclient

# An unreachable target received nothing, so that an attempt at the next one
# adds no load; this only ends the search when all targets are down.
_MAX_UNREACHABLE_ATTEMPTS = 4
# A request that could not be sent to so many targets is relayed to a host
# that may reach them.
_UNREACHABLE_FOR_RELAY = 2

# While a body is on its way, its end is looked for at this interval.
_UPLOAD_POLL_S = 0.02

_UNREACHABLE = balance.Outcome.UNREACHABLE
_ResultSender = memory.MemoryObjectSendStream[attemptresult.AttemptResult]
_ResultReceiver = memory.MemoryObjectReceiveStream[attemptresult.AttemptResult]


class Forwarder:
    """Sends a request to targets until one of them answers it well.

    A request that may run more than once is retried at another target when
    an attempt fails, and gets a backup attempt when an attempt takes longer
    than usual; the first good response counts. Any other request is retried
    only with a proof that it has not run. A quarantined request is refused,
    and not retried either.
    """

    def __init__(
        self,
        slot_allocator: slotallocator.SlotAllocator,
        balancer: balance.Balancer,
        target_client: targetclient.TargetClient,
        retry_budgets: retry.ServiceRetryBudgets,
        request_quarantine: quarantine.RequestQuarantine,
        path_monitor: pathmonitor.PathMonitor,
    ) -> None:
        self._slot_allocator = slot_allocator
        self._balancer = balancer
        self._target_client = target_client
        self._retry_budgets = retry_budgets
        self._quarantine = request_quarantine
        self._path_monitor = path_monitor

    async def forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return a target's response, or a refusal.

        The refusal says that the request did not run only if that is
        certain. The attempts are added to ``log_entry``.
        """
        state = forwardingstate.ForwardingState(request)
        self._retry_budgets.budget_for(request.service_id).refill_for_request()
        with anyio.CancelScope(deadline=request.deadline_ms / 1_000):
            sender, receiver = anyio.create_memory_object_stream[
                attemptresult.AttemptResult
            ](request.max_attempts + _MAX_UNREACHABLE_ATTEMPTS + 1)
            with sender, receiver:
                unused: forwarding.ForwardResult | None = None
                try:
                    async with anyio.create_task_group() as tasks:
                        forwarded = await self._run_attempts(
                            state, log_entry, tasks, sender, receiver
                        )
                        unused = forwarded
                        tasks.cancel_scope.cancel()
                    return forwarded
                except BaseException:
                    unused = None
                    raise
                finally:
                    with anyio.CancelScope(shield=True):
                        await _close_unread(receiver)
                        await _close_failed(state, unused)
        return self._refuse_timed_out(state)

    async def _run_attempts(
        self,
        state: forwardingstate.ForwardingState,
        log_entry: requestlogentry.RequestLogEntry,
        tasks: anyio.abc.TaskGroup,
        sender: _ResultSender,
        receiver: _ResultReceiver,
    ) -> forwarding.ForwardResult:
        """Start attempts until one succeeds or no other may be made."""
        request = state.request
        acquired = await self._acquire_first(state)
        if acquired.is_error():
            return expression.Error(acquired.error)
        log_entry.waited_ms = model.now_ms() - request.arrived_at_ms
        self._start_attempt(state, acquired.ok, log_entry, tasks, sender)
        while True:
            result = await self._wait_for_result(
                state, log_entry, tasks, sender, receiver
            )
            state.open_count -= 1
            state.last_result = result
            if result.is_success and result.response is not None:
                return expression.Ok(result.response)
            if result.outcome is _UNREACHABLE:
                state.unreachable_count += 1
                state.sent_count -= 1
            attempt = await self._acquire_retry(state, result)
            if attempt is not None:
                self._start_attempt(state, attempt, log_entry, tasks, sender)
            if not state.open_count:
                return self._conclude_failure(state, result)
            if result.response is not None:
                await result.response.aclose()

    async def _acquire_first(
        self, state: forwardingstate.ForwardingState
    ) -> slotallocator.AcquireResult:
        """Take a slot for the first attempt, unless it is quarantined.

        It may be quarantined while it waits for the slot.
        """
        request = state.request
        refusal = self._refuse_quarantined(request)
        if refusal is not None:
            return expression.Error(refusal)
        acquired = await self._slot_allocator.acquire(
            request, state.tried_target_ids
        )
        refusal = self._refuse_quarantined(request)
        if refusal is None or acquired.is_error():
            return acquired
        self._slot_allocator.release(
            acquired.ok, balance.Outcome.ABANDONED, request
        )
        return expression.Error(refusal)

    def _refuse_quarantined(
        self, request: admittedrequest.AdmittedRequest
    ) -> model.Refusal | None:
        """Return the refusal of a quarantined request, None for others."""
        remaining_ms = self._quarantine.remaining_ms(
            request.fingerprint, model.now_ms()
        )
        if remaining_ms <= 0:
            return None
        return model.Refusal(
            model.ErrorKind.REQUEST_QUARANTINED,
            "targets have crashed under this request",
            retry_after_ms=remaining_ms,
        )

    async def _wait_for_result(
        self,
        state: forwardingstate.ForwardingState,
        log_entry: requestlogentry.RequestLogEntry,
        tasks: anyio.abc.TaskGroup,
        sender: _ResultSender,
        receiver: _ResultReceiver,
    ) -> attemptresult.AttemptResult:
        """Return the next result; start a backup attempt if it is late.

        While most slots are free, the backup attempt starts early enough to
        meet the latency objective; otherwise only when the first attempt
        counts as silent.
        """
        if state.open_count == 1 and self._may_repeat(state):
            # No target can answer before it has the body.
            while not state.request.body.is_ended:
                with anyio.move_on_after(_UPLOAD_POLL_S):
                    return await receiver.receive()
            latency = self._balancer.latency_estimator(state.request.route)
            wait_started_s = anyio.current_time()
            for delay_ms, is_early in (
                (latency.backup_delay_ms, True),
                (latency.silence_threshold_ms, False),
            ):
                backup_at_s = wait_started_s + delay_ms / 1_000
                with anyio.move_on_after(backup_at_s - anyio.current_time()):
                    return await receiver.receive()
                attempt = self._acquire_backup(state, is_early)
                if attempt is not None:
                    self._start_attempt(
                        state, attempt, log_entry, tasks, sender
                    )
                    break
        return await receiver.receive()

    def _acquire_backup(
        self, state: forwardingstate.ForwardingState, is_early: bool
    ) -> balance.Attempt | None:
        """Take a slot for a backup attempt, None if there may be none.

        ``is_early`` tells that the open attempt is not silent yet.
        """
        request = state.request
        budget = self._retry_budgets.budget_for(request.service_id)
        if (
            not self._may_repeat(state)
            or not request.body.can_share
            or not self._has_time_left(request)
            # A second attempt into a broken path would be the last one.
            or self._path_monitor.is_checking
            or self._refuse_quarantined(request) is not None
        ):
            return None
        if is_early and not (
            budget.is_half_full
            and self._balancer.has_spare_capacity(request.service_id)
        ):
            return None
        if not budget.allows_backup:
            return None
        attempt = self._slot_allocator.try_acquire(
            request, state.tried_target_ids
        )
        if attempt is not None:
            budget.try_take_token()
        return attempt

    async def _acquire_retry(
        self,
        state: forwardingstate.ForwardingState,
        result: attemptresult.AttemptResult,
    ) -> balance.Attempt | None:
        """Take a slot for a retry after a failure, None if there may be none.

        Retries after an unreachable target don't use the retry budget.
        """
        request = state.request
        is_safe = result.not_run_proof is not None or request.can_repeat
        if (
            not is_safe
            or not _can_get_body(state)
            or self._refuse_quarantined(request) is not None
        ):
            return None
        if result.outcome is _UNREACHABLE:
            if state.unreachable_count >= _MAX_UNREACHABLE_ATTEMPTS:
                return None
        elif not self._may_retry(state):
            return None
        if state.open_count:
            # The open attempt may succeed while a retry waits in the queue.
            attempt = self._slot_allocator.try_acquire(
                request, state.tried_target_ids
            )
        else:
            acquired = await self._slot_allocator.acquire(
                request, state.tried_target_ids
            )
            attempt = acquired.ok if acquired.is_ok() else None
        if attempt is not None and result.outcome is not _UNREACHABLE:
            self._retry_budgets.budget_for(request.service_id).try_take_token()
        return attempt

    def _may_retry(self, state: forwardingstate.ForwardingState) -> bool:
        """Return whether attempts and budget are left for a retry."""
        request = state.request
        if state.sent_count >= request.max_attempts:
            return False
        return self._retry_budgets.budget_for(request.service_id).has_tokens(
            1.0
        )

    def _may_repeat(self, state: forwardingstate.ForwardingState) -> bool:
        """Return whether the request may run once more, apart from budgets."""
        request = state.request
        return request.can_repeat and state.sent_count < request.max_attempts

    def _has_time_left(self, request: admittedrequest.AdmittedRequest) -> bool:
        """Return whether an attempt of mean latency can meet the deadline."""
        mean_ms = self._balancer.latency_estimator(request.route).mean_ms
        return request.deadline_ms - model.now_ms() >= mean_ms

    def _start_attempt(
        self,
        state: forwardingstate.ForwardingState,
        attempt: balance.Attempt,
        log_entry: requestlogentry.RequestLogEntry,
        tasks: anyio.abc.TaskGroup,
        sender: _ResultSender,
    ) -> None:
        """Count an attempt and run it in a task of its own."""
        state.open_count += 1
        state.sent_count += 1
        state.tried_target_ids.add(attempt.target_id)
        self._path_monitor.record_start(attempt)
        tasks.start_soon(self._run_attempt, state, attempt, log_entry, sender)

    async def _run_attempt(
        self,
        state: forwardingstate.ForwardingState,
        attempt: balance.Attempt,
        log_entry: requestlogentry.RequestLogEntry,
        sender: _ResultSender,
    ) -> None:
        """Run one attempt and pass its result to ``sender``.

        The slot of the attempt is released at its end, or at that of a long
        body that is still being passed on.
        """
        request = state.request
        target = self._balancer.find_target(
            attempt.service_id, attempt.target_id
        )
        outcome = balance.Outcome.ABANDONED
        detail = ""
        body_rest: bodyrest.BodyRest | None = None

        def release(final_outcome: balance.Outcome) -> None:
            self._slot_allocator.release(attempt, final_outcome, request)

        try:
            if target is None:
                result = attemptresult.AttemptResult(
                    attempt,
                    balance.Outcome.UNREACHABLE,
                    "gone",
                    model.NotRunProof(
                        model.NotRunReason.NOT_SENT, "target is gone"
                    ),
                )
            else:
                result = await self._target_client.send(
                    request, attempt, target, state.request.run_evidence
                )
            outcome, detail = result.outcome, result.log_detail
            self._record_crash_or_survival(request, result)
            if result.response is not None:
                body_rest = result.response.body_rest
            if body_rest is not None:
                body_rest.on_end = release
            sender.send_nowait(result)
        except anyio.get_cancelled_exc_class():
            if model.now_ms() >= request.deadline_ms:
                outcome = balance.Outcome.SILENT
            raise
        finally:
            took_ms = model.now_ms() - attempt.started_at_ms
            log_entry.attempts.append(
                f"{attempt.target_id} {attempt.selection_reason} "
                f"{outcome.value} {took_ms:.0f}ms {detail}"
            )
            self._path_monitor.record_end(attempt, outcome, model.now_ms())
            if body_rest is None:
                release(outcome)

    def _record_crash_or_survival(
        self,
        request: admittedrequest.AdmittedRequest,
        result: attemptresult.AttemptResult,
    ) -> None:
        """Tell the quarantine what the attempt did to its target."""
        now_ms = model.now_ms()
        if result.has_crashed_target:
            self._quarantine.record_crash(
                request.fingerprint, result.attempt.started_at_ms, now_ms
            )
        elif result.response is not None:
            self._quarantine.record_survival(request.fingerprint, now_ms)

    def _conclude_failure(
        self,
        state: forwardingstate.ForwardingState,
        result: attemptresult.AttemptResult,
    ) -> forwarding.ForwardResult:
        """Return what the caller gets after the last attempt failed.

        That is the target's own response if there is one and the request
        may have run, and a refusal otherwise.
        """
        not_run_proof = state.request.run_evidence.proof
        if (
            not_run_proof is not None
            and state.unreachable_count >= _UNREACHABLE_FOR_RELAY
        ):
            return expression.Error(
                model.Refusal(
                    model.ErrorKind.NO_TARGET_PATH,
                    f"not run: {result.detail}",
                    retry_after_ms=balance.SHED_PAUSE_MS,
                )
            )
        if not_run_proof is not None:
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
    def _refuse_timed_out(
        state: forwardingstate.ForwardingState,
    ) -> forwarding.ForwardResult:
        """Return the refusal of a request whose deadline has passed."""
        if state.request.run_evidence.proof is None:
            kind = model.ErrorKind.TARGET_TIMEOUT
        else:
            kind = model.ErrorKind.QUEUE_TIMEOUT
        return expression.Error(
            model.Refusal(kind, "the deadline of the request has passed")
        )


def _can_get_body(state: forwardingstate.ForwardingState) -> bool:
    """Return whether one more attempt can get the body of the request."""
    body = state.request.body
    return body.can_share if state.open_count else body.can_replay


async def _close_failed(
    state: forwardingstate.ForwardingState,
    forwarded: forwarding.ForwardResult | None,
) -> None:
    """Close the last response that was read, unless it is passed on."""
    response = state.last_result.response if state.last_result else None
    if response is None or (
        forwarded is not None
        and forwarded.is_ok()
        and forwarded.ok is response
    ):
        return
    await response.aclose()


async def _close_unread(receiver: _ResultReceiver) -> None:
    """Close the responses that came after the one that is passed on."""
    while True:
        try:
            result = receiver.receive_nowait()
        except (anyio.WouldBlock, anyio.EndOfStream):
            return
        if result.response is not None:
            await result.response.aclose()
