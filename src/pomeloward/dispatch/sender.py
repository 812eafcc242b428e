"""Sends one attempt and classifies how it ended."""

import dataclasses

import anyio
import httpx

from pomeloward import catalog
from pomeloward import model
from pomeloward import service
from pomeloward.dispatch import answer as answers
from pomeloward.dispatch import attempt as attempts
from pomeloward.dispatch import cancellation
from pomeloward.dispatch import failedattempt
from pomeloward.dispatch import failure as failures
from pomeloward.dispatch import head
from pomeloward.dispatch import link
from pomeloward.dispatch import links
from pomeloward.dispatch import request as requests
from pomeloward.dispatch import steps

AttemptResult = answers.Answer | failedattempt.FailedAttempt


class Sender:
    """Runs attempts over the host's links to targets."""

    def __init__(
        self,
        targets: steps.Targets,
        target_links: links.Links,
        connect_ms: float,
        stream_idle_ms: float,
    ) -> None:
        self._targets = targets
        self._links = target_links
        self._connect_ms = connect_ms
        self._stream_idle_ms = stream_idle_ms

    def target_count(self, service_id: model.ServiceId) -> int:
        """Return how many targets a service has."""
        return self._targets.count(service_id)

    async def send(
        self, request: requests.TargetRequest, hold: steps.SlotHold
    ) -> AttemptResult:
        """Send a request under a slot; the slot is always given back."""
        target = self._targets.target(request.route.service, hold.target)
        if target is None:
            hold.release(service.Outcome.CANCELLED, 0.0)
            return failedattempt.FailedAttempt(hold.target, _gone(hold.target))
        attempt = attempts.Attempt(
            request,
            hold,
            self._link(target),
            self._connect_ms,
            self._stream_idle_ms,
        )
        return await self._run(request, attempt)

    def _link(self, target: catalog.Target) -> link.Link:
        found = self._links.find(target)
        if found is not None:
            return found
        return self._links.make(
            target,
            self._targets.connections(target),
            anyio.current_time() * 1_000,
        )

    async def _run(
        self, request: requests.TargetRequest, attempt: attempts.Attempt
    ) -> AttemptResult:
        hold = attempt.hold
        started_ms = anyio.current_time() * 1_000
        attempt.link.enter(started_ms)
        try:
            response = await attempt.run()
        except (httpx.HTTPError, failures.PermissionLapsed) as error:
            failure = failures.classify_error(error, attempt.is_sent)
            latency_ms = anyio.current_time() * 1_000 - started_ms
            hold.release(failure.outcome, latency_ms)
            attempt.link.leave(started_ms + latency_ms)
            proof = await self._cancel(request, attempt)
            if proof is not None:
                failure = dataclasses.replace(failure, proof=proof)
            return failedattempt.FailedAttempt(hold.target, failure)
        except BaseException:
            now_ms = anyio.current_time() * 1_000
            attempt.link.leave(now_ms)
            is_late = now_ms >= request.deadline_ms
            hold.release(
                service.Outcome.TIMEOUT
                if is_late
                else service.Outcome.CANCELLED,
                now_ms - started_ms,
            )
            await self._cancel(request, attempt)
            raise
        return self._judge(request, attempt, response, started_ms)

    async def _cancel(
        self, request: requests.TargetRequest, attempt: attempts.Attempt
    ) -> model.NotRunProof | None:
        """Cancel a sent request whose run matters, and note a proof."""
        if not attempt.is_sent or request.route.is_idempotent:
            return None
        proof = await cancellation.cancel(attempt.link, request.id)
        if proof is not None:
            request.evidence.prove_not_run(proof)
        return proof

    def _judge(
        self,
        request: requests.TargetRequest,
        attempt: attempts.Attempt,
        response: httpx.Response,
        started_ms: float,
    ) -> AttemptResult:
        latency_ms = anyio.current_time() * 1_000 - started_ms
        answer = answers.Answer(
            response,
            attempt.hold,
            latency_ms,
            head.clean(response.headers.raw),
            attempt.link,
        )
        run_state = response.headers.get(failures.RUN_STATE_HEADER)
        target_id = attempt.hold.target
        # A faulty target may send an earlier refusal once more.
        is_doubtful = run_state is not None and (
            response.headers.get(failures.REQUEST_ID_HEADER) != request.id
            or target_id in request.refused_by
        )
        if is_doubtful:
            run_state = None
        failure = failures.classify_status(response.status_code, run_state)
        if failure is None and head.has_known_length(request.method, response):
            return answer
        if failure is None:
            failure = _no_length()
            answer.is_unusable = True
        # A switch of protocols that nobody asked for is no answer.
        answer.is_unusable |= is_doubtful or response.status_code < 200
        if failure.proof is not None:
            request.evidence.prove_not_run(failure.proof)
            request.refused_by.add(target_id)
        answer.outcome = failure.outcome
        return failedattempt.FailedAttempt(answer.target, failure, answer)


def _gone(target: model.TargetId) -> failures.Failure:
    return failures.Failure(
        service.Outcome.CANCELLED,
        model.Refusal(
            model.ErrorKind.NO_CAPACITY,
            f"target {target} left the configuration",
            retry_after_ms=1_000,
        ),
        model.NotRunProof(model.NotRunReason.NOT_SENT, "target is gone"),
    )


def _no_length() -> failures.Failure:
    return failures.Failure(
        service.Outcome.ERROR,
        model.Refusal(
            model.ErrorKind.TARGET_FAILED,
            "the target's answer does not show where it ends",
        ),
        None,
    )
