"""The ASGI application that serves callers."""

import collections.abc
import secrets
import typing

import anyio
import eliot

from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import observability
from pomeloward import policy as policies
from pomeloward.relay import admission as admissions
from pomeloward.relay import admittedrequest
from pomeloward.relay import exceptiongroups
from pomeloward.relay import forwarder as forwarders
from pomeloward.relay import httpconventions
from pomeloward.relay import openrequests
from pomeloward.relay import requesthead
from pomeloward.relay import requestlogentry
from pomeloward.relay import responsewriter
from pomeloward.relay import targetresponse

Scope = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]

# A longer body is streamed once and cannot be sent to a second target.
_REPLAY_BYTES = 256 * 1024
# How long the body of a refused request is read away.
_LINGER_S = 0.5
_NO_LIMITS = policies.CallerLimits()
# A caller that gives no timeout on a route without one waits this long.
_DEFAULT_TIMEOUT_MS = 30_000.0


class Application:
    """Checks, admits and forwards each request, and logs its outcome."""

    def __init__(
        self,
        dialect: httpconventions.HttpConventions,
        gate: admissions.AdmissionControl,
        forwarder: forwarders.Forwarder,
        open_requests: openrequests.OpenRequests,
        metrics: observability.Metrics,
    ) -> None:
        self.is_draining = False
        self._dialect = dialect
        self._gate = gate
        self._forwarder = forwarder
        self._open = open_requests
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: responsewriter.Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        now_ms = model.now_ms()
        given = requesthead.find_request_id(scope, self._dialect)
        request = given or model.RequestId(secrets.token_hex(8))
        trace = requestlogentry.RequestLogEntry(request, now_ms)
        id_header = (
            self._dialect.request_id_header,
            request.encode("latin-1"),
        )
        reply = responsewriter.ResponseWriter(
            send, id_header, self.is_draining
        )
        self._open.count_started()
        try:
            await self._serve(scope, receive, reply, trace)
        except Exception as error:  # noqa: BLE001
            await self._failed(
                exceptiongroups.unwrap_exception_group(error), reply, trace
            )
        finally:
            self._open.count_ended()
            self._log(trace, reply.sent_status)

    async def _failed(
        self,
        error: Exception,
        reply: responsewriter.ResponseWriter,
        trace: requestlogentry.RequestLogEntry,
    ) -> None:
        """End a request that raised; an unfinished answer is closed."""
        if isinstance(error, dispatch.AnswerCut):
            trace.reason = f"answer cut short: {error}"
        elif isinstance(error, entry.CallerGone):
            trace.reason = "caller left"
        elif isinstance(error, entry.BodyTooLarge) and not reply.sent_status:
            reply.closes_connection = True
            await self._refuse(
                reply,
                model.Refusal(model.ErrorKind.BODY_TOO_LARGE, str(error)),
                trace,
            )
        else:
            # A fault in one request must not end the host; the text could
            # hold request data, so that only the type is logged.
            trace.reason = f"internal error: {type(error).__name__}"
            eliot.write_traceback()
            if not reply.sent_status:
                await reply.write_refusal(
                    model.Refusal(model.ErrorKind.INTERNAL)
                )

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        reply: responsewriter.ResponseWriter,
        trace: requestlogentry.RequestLogEntry,
    ) -> None:
        index = self._gate.policy_index
        limits = index.policy.limits if index is not None else _NO_LIMITS
        read = requesthead.parse_request_head(scope, self._dialect, limits)
        if read.is_error():
            reply.closes_connection = True
            await self._refuse(reply, read.error, trace)
            return
        caller = read.ok
        admitted = self._gate.admit(caller, trace.started_ms)
        body = entry.RequestBody(receive, limits.body_bytes, _REPLAY_BYTES)
        if admitted.is_error():
            await _read_away(caller, body, reply)
            await self._refuse(reply, admitted.error, trace)
            return
        call = _call(caller, admitted.ok, body, trace)
        await self._run_watched(call, body, receive, reply, trace)

    async def _run_watched(
        self,
        call: admittedrequest.AdmittedRequest,
        body: entry.RequestBody,
        receive: Receive,
        reply: responsewriter.ResponseWriter,
        trace: requestlogentry.RequestLogEntry,
    ) -> None:
        """Forward a call, and stop when its caller leaves."""
        await body.preload()
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await body.ended.wait()
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        if not reply.sent_status:
                            trace.reason = "caller left"
                        tasks.cancel_scope.cancel()
                        return

            tasks.start_soon(watch)
            forwarded = await self._forwarder.forward(call, trace)
            body.stop()
            if forwarded.is_error():
                if forwarded.error.run is model.RunState.NOT_RUN:
                    self._gate.refund_request(call.team, model.now_ms())
                await self._refuse(reply, forwarded.error, trace)
            else:
                await self._answer(reply, forwarded.ok, trace)
            tasks.cancel_scope.cancel()

    async def _answer(
        self,
        reply: responsewriter.ResponseWriter,
        answer: targetresponse.TargetResponse,
        trace: requestlogentry.RequestLogEntry,
    ) -> None:
        if answer.status in self._dialect.caller_not_run_statuses:
            # The target's own words would promise that nothing has run.
            await self._refuse(
                reply,
                model.Refusal(
                    model.ErrorKind.TARGET_FAILED,
                    f"the target answered {answer.status}",
                ),
                trace,
            )
            return
        await reply.write_response(answer)

    async def _refuse(
        self,
        reply: responsewriter.ResponseWriter,
        refusal: model.Refusal,
        trace: requestlogentry.RequestLogEntry,
    ) -> None:
        trace.reason = f"{refusal.kind.value}: {refusal.detail}"
        self._metrics.increment(
            "pomeloward_refusals_total", (("kind", refusal.kind.value),)
        )
        await reply.write_refusal(refusal)

    def _log(
        self, trace: requestlogentry.RequestLogEntry, status: int
    ) -> None:
        took_ms = model.now_ms() - trace.started_ms
        self._metrics.increment(
            "pomeloward_requests_total", (("status", str(status)),)
        )
        self._metrics.observe_ms("pomeloward_request_seconds", took_ms)
        eliot.log_message(
            message_type="request",
            request=trace.request_id,
            status=status,
            reason=trace.reason,
            took_ms=round(took_ms, 1),
            waited_ms=round(trace.waited_ms, 1),
            route=trace.route,
            team=trace.team,
            service=trace.service,
            version=trace.configuration_version,
            attempts=trace.attempts,
        )


def _call(
    caller: requesthead.RequestHead,
    admission: admissions.Admission,
    body: entry.RequestBody,
    trace: requestlogentry.RequestLogEntry,
) -> admittedrequest.AdmittedRequest:
    route = admission.route
    allowed_ms = route.timeout_ms or _DEFAULT_TIMEOUT_MS
    if caller.timeout_ms is not None:
        allowed_ms = min(allowed_ms, caller.timeout_ms)
    headers = caller.headers
    if caller.is_chunked:
        headers = [*headers, (b"transfer-encoding", b"chunked")]
    trace.configuration_version = admission.configuration_version
    trace.route = route.id
    trace.service = admission.service
    trace.team = admission.team.id if admission.team is not None else ""
    return admittedrequest.AdmittedRequest(
        id=trace.request_id,
        route=route,
        service=admission.service,
        team=admission.team,
        method=caller.method,
        path_and_query=caller.path_and_query,
        headers=headers,
        body=body if caller.has_body else entry.NoBody(),
        arrived_at_ms=trace.started_ms,
        deadline_ms=trace.started_ms + allowed_ms,
    )


async def _read_away(
    caller: requesthead.RequestHead,
    body: entry.RequestBody,
    reply: responsewriter.ResponseWriter,
) -> None:
    """Read the body of a request that is refused.

    Closing a connection with unread bytes resets it, so that the caller
    might not see the refusal.
    """
    if not caller.has_body:
        return
    with anyio.move_on_after(_LINGER_S):
        await body.preload()
    reply.closes_connection |= not body.is_ended
