"""The ASGI application that serves callers."""

import collections.abc
import secrets
import typing

import anyio
import eliot

from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import observe
from pomeloward import policy as policies
from pomeloward.relay import answer as answers
from pomeloward.relay import call as calls
from pomeloward.relay import caller as callers
from pomeloward.relay import dialect as dialects
from pomeloward.relay import errors
from pomeloward.relay import forwarder as forwarders
from pomeloward.relay import gate as gates
from pomeloward.relay import openrequests
from pomeloward.relay import reply as replies
from pomeloward.relay import trace as traces

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
        dialect: dialects.Dialect,
        gate: gates.Gate,
        forwarder: forwarders.Forwarder,
        open_requests: openrequests.OpenRequests,
        metrics: observe.Metrics,
    ) -> None:
        self.is_draining = False
        self._dialect = dialect
        self._gate = gate
        self._forwarder = forwarder
        self._open = open_requests
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: replies.Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        now_ms = model.now_ms()
        given = callers.request_id(scope, self._dialect)
        request = given or model.RequestId(secrets.token_hex(8))
        trace = traces.Trace(request, now_ms)
        id_header = (self._dialect.request_id, request.encode("latin-1"))
        reply = replies.Reply(send, id_header, self.is_draining)
        self._open.begin()
        try:
            await self._serve(scope, receive, reply, trace)
        except Exception as error:  # noqa: BLE001
            await self._failed(errors.leaf(error), reply, trace)
        finally:
            self._open.end()
            self._log(trace, reply.status)

    async def _failed(
        self, error: Exception, reply: replies.Reply, trace: traces.Trace
    ) -> None:
        """End a request that raised; an unfinished answer is closed."""
        if isinstance(error, dispatch.AnswerCut):
            trace.reason = f"answer cut short: {error}"
        elif isinstance(error, entry.CallerGone):
            trace.reason = "caller left"
        elif isinstance(error, entry.BodyTooLarge) and not reply.status:
            reply.is_last = True
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
            if not reply.status:
                await reply.refuse(model.Refusal(model.ErrorKind.INTERNAL))

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        reply: replies.Reply,
        trace: traces.Trace,
    ) -> None:
        index = self._gate.index
        limits = index.policy.limits if index is not None else _NO_LIMITS
        read = callers.read(scope, self._dialect, limits)
        if read.is_error():
            reply.is_last = True
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
        call: calls.Call,
        body: entry.RequestBody,
        receive: Receive,
        reply: replies.Reply,
        trace: traces.Trace,
    ) -> None:
        """Forward a call, and stop when its caller leaves."""
        await body.preload()
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await body.ended.wait()
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        if not reply.status:
                            trace.reason = "caller left"
                        tasks.cancel_scope.cancel()
                        return

            tasks.start_soon(watch)
            forwarded = await self._forwarder.forward(call, trace)
            body.stop()
            if forwarded.is_error():
                if forwarded.error.run is model.RunState.NOT_RUN:
                    self._gate.give_back(call.team, model.now_ms())
                await self._refuse(reply, forwarded.error, trace)
            else:
                await self._answer(reply, forwarded.ok, trace)
            tasks.cancel_scope.cancel()

    async def _answer(
        self,
        reply: replies.Reply,
        answer: answers.Answer,
        trace: traces.Trace,
    ) -> None:
        if answer.status in self._dialect.promises:
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
        await reply.answer(answer)

    async def _refuse(
        self, reply: replies.Reply, refusal: model.Refusal, trace: traces.Trace
    ) -> None:
        trace.reason = f"{refusal.kind.value}: {refusal.detail}"
        self._metrics.count(
            "pomeloward_refusals_total", (("kind", refusal.kind.value),)
        )
        await reply.refuse(refusal)

    def _log(self, trace: traces.Trace, status: int) -> None:
        took_ms = model.now_ms() - trace.started_ms
        self._metrics.count(
            "pomeloward_requests_total", (("status", str(status)),)
        )
        self._metrics.observe_ms("pomeloward_request_seconds", took_ms)
        eliot.log_message(
            message_type="request",
            request=trace.id,
            status=status,
            reason=trace.reason,
            took_ms=round(took_ms, 1),
            waited_ms=round(trace.waited_ms, 1),
            route=trace.route,
            team=trace.team,
            service=trace.service,
            version=trace.version,
            attempts=trace.attempts,
        )


def _call(
    caller: callers.Caller,
    admission: gates.Admission,
    body: entry.RequestBody,
    trace: traces.Trace,
) -> calls.Call:
    route = admission.route
    allowed_ms = route.timeout_ms or _DEFAULT_TIMEOUT_MS
    if caller.timeout_ms is not None:
        allowed_ms = min(allowed_ms, caller.timeout_ms)
    headers = caller.headers
    if caller.is_chunked:
        headers = [*headers, (b"transfer-encoding", b"chunked")]
    trace.version = admission.version
    trace.route = route.id
    trace.service = admission.service
    trace.team = admission.team.id if admission.team is not None else ""
    return calls.Call(
        id=trace.id,
        route=route,
        service=admission.service,
        team=admission.team,
        method=caller.method,
        target_path=caller.target_path,
        headers=headers,
        body=body if caller.has_body else entry.NoBody(),
        arrived_ms=trace.started_ms,
        end_ms=trace.started_ms + allowed_ms,
    )


async def _read_away(
    caller: callers.Caller, body: entry.RequestBody, reply: replies.Reply
) -> None:
    """Read the body of a request that is refused.

    Closing a connection with unread bytes resets it, so that the caller
    might not see the refusal.
    """
    if not caller.has_body:
        return
    with anyio.move_on_after(_LINGER_S):
        await body.preload()
    reply.is_last |= not body.is_ended
