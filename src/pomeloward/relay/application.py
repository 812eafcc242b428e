"""The ASGI application that serves callers."""

import collections.abc
import secrets
import typing

import anyio
import eliot
import expression

from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import observability
from pomeloward import policy as policies
from pomeloward import quarantine
from pomeloward.relay import admission as admissions
from pomeloward.relay import admittedrequest
from pomeloward.relay import exceptiongroups
from pomeloward.relay import forwarding
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

# A longer request body is streamed once and can't be sent to another target.
_MAX_REPLAY_BYTES = 256 * 1024
# How long the body of a refused request is read and discarded.
_DISCARD_TIMEOUT_S = 0.5
_DEFAULT_LIMITS = policies.CallerLimits()


class Application:
    """Checks, admits and forwards requests, and logs their outcomes.

    While ``is_draining`` is set, callers' connections are closed after the
    response, so that their next requests go to other hosts.
    """

    def __init__(
        self,
        conventions: httpconventions.HttpConventions,
        admission_control: admissions.AdmissionControl,
        forwarder: forwarding.Forwarding,
        open_requests: openrequests.OpenRequests,
        metrics: observability.Metrics,
    ) -> None:
        self.is_draining = False
        self._conventions = conventions
        self._admission_control = admission_control
        self._forwarder = forwarder
        self._open_requests = open_requests
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: responsewriter.Send
    ) -> None:
        """Serve one HTTP request; scopes of other types are ignored."""
        if scope["type"] != "http":
            return
        now_ms = model.now_ms()
        received_id = requesthead.find_request_id(scope, self._conventions)
        request_id = received_id or model.RequestId(secrets.token_hex(8))
        log_entry = requestlogentry.RequestLogEntry(
            request_id, now_ms, is_draining=self.is_draining
        )
        request_id_header = (
            self._conventions.request_id_header,
            request_id.encode("latin-1"),
        )
        writer = responsewriter.ResponseWriter(
            send, request_id_header, self.is_draining
        )
        self._open_requests.count_started()
        try:
            await self._serve(scope, receive, writer, log_entry)
        except Exception as error:  # noqa: BLE001
            await self._handle_exception(
                exceptiongroups.unwrap_exception_group(error),
                writer,
                log_entry,
            )
        finally:
            self._open_requests.count_ended()
            self._record_outcome(log_entry, writer.sent_status)

    async def _handle_exception(
        self,
        error: Exception,
        writer: responsewriter.ResponseWriter,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> None:
        """Set the logged reason of an exception, and refuse if possible.

        After the start of a response nothing more is sent; the server then
        closes the connection of the unfinished response.
        """
        if isinstance(error, dispatch.AnswerCut):
            log_entry.reason = f"target ended its response early: {error}"
        elif isinstance(error, responsewriter.ResponseNotTaken):
            log_entry.reason = "caller did not read the response in its time"
        elif isinstance(error, entry.CallerGone):
            log_entry.reason = "caller disconnected"
        elif isinstance(error, entry.BodyTooLarge) and not writer.sent_status:
            writer.closes_connection = True
            await self._refuse(
                writer,
                model.Refusal(model.ErrorKind.BODY_TOO_LARGE, str(error)),
                log_entry,
            )
        else:
            # An error in one request must not end the host. Its text could
            # contain request data, so that only the type is logged.
            log_entry.reason = f"internal error: {type(error).__name__}"
            eliot.write_traceback()
            if not writer.sent_status:
                await writer.write_refusal(
                    model.Refusal(model.ErrorKind.INTERNAL)
                )

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        writer: responsewriter.ResponseWriter,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> None:
        """Check and admit a request, then forward or refuse it."""
        index = self._admission_control.policy_index
        limits = index.policy.limits if index is not None else _DEFAULT_LIMITS
        parsed = requesthead.parse_request_head(
            scope, self._conventions, limits
        )
        if parsed.is_error():
            writer.closes_connection = True
            await self._refuse(writer, parsed.error, log_entry)
            return
        head = parsed.ok
        admitted = self._admission_control.admit(head, log_entry.started_at_ms)
        body = entry.RequestBody(receive, limits.body_bytes, _MAX_REPLAY_BYTES)
        if admitted.is_error():
            await _discard_body(head, body, writer)
            await self._refuse(writer, admitted.error, log_entry)
            return
        request = _make_admitted_request(head, admitted.ok, body, log_entry)
        with anyio.CancelScope(
            deadline=request.deadline_ms / 1_000
        ) as preload_scope:
            await body.preload()
        if preload_scope.cancelled_caught:
            await self._refuse_late_body(request, writer, log_entry)
            return
        log_entry.fingerprint = request.fingerprint = (
            quarantine.compute_fingerprint(
                request.method,
                request.path_and_query,
                log_entry.team_id,
                body.kept_start(quarantine.BODY_BYTES),
                head.content_length,
            )
        )
        await self._forward_while_connected(
            request, body, receive, writer, log_entry, entry.turn_of(scope)
        )

    async def _refuse_late_body(
        self,
        request: admittedrequest.AdmittedRequest,
        writer: responsewriter.ResponseWriter,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> None:
        """Refuse a request whose body has not come by its deadline."""
        self._admission_control.refund_request(request.team, model.now_ms())
        writer.closes_connection = True
        await self._refuse(
            writer,
            model.Refusal(
                model.ErrorKind.QUEUE_TIMEOUT,
                "the body did not come before the deadline",
            ),
            log_entry,
        )

    async def _forward_while_connected(
        self,
        request: admittedrequest.AdmittedRequest,
        body: entry.RequestBody,
        receive: Receive,
        writer: responsewriter.ResponseWriter,
        log_entry: requestlogentry.RequestLogEntry,
        turn: entry.Turn,
    ) -> None:
        """Forward a request and respond; stop if the caller disconnects."""
        async with anyio.create_task_group() as tasks:

            async def cancel_on_disconnect() -> None:
                await body.ended.wait()
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        if not writer.sent_status:
                            log_entry.reason = "caller disconnected"
                        tasks.cancel_scope.cancel()
                        return

            tasks.start_soon(cancel_on_disconnect)
            forwarded = await self._forward_in_turn(request, turn, log_entry)
            if body.ended_at_ms is not None:
                log_entry.body_ms = round(
                    body.ended_at_ms - log_entry.started_at_ms, 1
                )
            # What is left of the body would be taken for the next request.
            writer.closes_connection |= not body.is_ended
            body.stop()
            # A peer counts the requests that are relayed to it.
            is_uncounted = (
                forwarded.error.run_state is model.RunState.NOT_RUN
                if forwarded.is_error()
                else forwarded.ok.is_relayed
            )
            if is_uncounted:
                self._admission_control.refund_request(
                    request.team, model.now_ms()
                )
            if forwarded.is_error():
                await self._refuse(writer, forwarded.error, log_entry)
            else:
                try:
                    await self._respond(writer, forwarded.ok, log_entry)
                finally:
                    await forwarded.ok.aclose()
            tasks.cancel_scope.cancel()

    async def _forward_in_turn(
        self,
        request: admittedrequest.AdmittedRequest,
        turn: entry.Turn,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Forward a request; one that can't be repeated waits for its turn.

        Its caller sends it again if the connection ends before.
        """
        if not request.can_repeat and not turn.has_come:
            with anyio.CancelScope(deadline=request.deadline_ms / 1_000):
                await turn.wait()
            if not turn.has_come:
                return expression.Error(
                    model.Refusal(
                        model.ErrorKind.QUEUE_TIMEOUT,
                        "earlier requests of the connection are still open",
                    )
                )
        return await self._forwarder.forward(request, log_entry)

    async def _respond(
        self,
        writer: responsewriter.ResponseWriter,
        response: targetresponse.TargetResponse,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> None:
        """Pass a target's response on, unless its status would mislead."""
        if (
            response.status in self._conventions.caller_not_run_statuses
            and not response.is_relayed
        ):
            # With this status the caller would conclude that its request
            # has not run, which is not certain.
            await self._refuse(
                writer,
                model.Refusal(
                    model.ErrorKind.TARGET_FAILED,
                    f"the target answered {response.status}",
                ),
                log_entry,
            )
            return
        if self._conventions.is_between_hosts and response.target_id:
            response.headers.append(
                (
                    httpconventions.ANSWERING_TARGET_HEADER,
                    response.target_id.encode("latin-1"),
                )
            )
        await writer.write_response(response)

    async def _refuse(
        self,
        writer: responsewriter.ResponseWriter,
        refusal: model.Refusal,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> None:
        """Send and count a refusal, and set it as the logged reason."""
        log_entry.reason = f"{refusal.kind.value}: {refusal.detail}"
        self._metrics.increment(
            "pomeloward_refusals_total", (("kind", refusal.kind.value),)
        )
        await writer.write_refusal(refusal)

    def _record_outcome(
        self, log_entry: requestlogentry.RequestLogEntry, status: int
    ) -> None:
        """Update the metrics with an ended request, and log it."""
        took_ms = model.now_ms() - log_entry.started_at_ms
        self._metrics.increment(
            "pomeloward_requests_total", (("status", str(status)),)
        )
        self._metrics.observe_ms("pomeloward_request_seconds", took_ms)
        eliot.log_message(
            message_type="request",
            request=log_entry.request_id,
            status=status,
            reason=log_entry.reason,
            took_ms=round(took_ms, 1),
            body_ms=log_entry.body_ms,
            waited_ms=round(log_entry.waited_ms, 1),
            draining=log_entry.is_draining,
            route=log_entry.route_id,
            team=log_entry.team_id,
            service=log_entry.service_id,
            fingerprint=log_entry.fingerprint,
            version=observability.loggable_integer(
                log_entry.configuration_version
            ),
            attempts=log_entry.attempts,
        )


def _make_admitted_request(
    head: requesthead.RequestHead,
    admission: admissions.Admission,
    body: entry.RequestBody,
    log_entry: requestlogentry.RequestLogEntry,
) -> admittedrequest.AdmittedRequest:
    """Return the request to forward, and add the admission to the log."""
    route = admission.route
    headers = head.headers
    if head.is_chunked:
        headers = [*headers, (b"transfer-encoding", b"chunked")]
    log_entry.configuration_version = admission.configuration_version
    log_entry.route_id = route.id
    log_entry.service_id = admission.service_id
    log_entry.team_id = admission.team.id if admission.team is not None else ""
    return admittedrequest.AdmittedRequest(
        id=log_entry.request_id,
        route=route,
        service_id=admission.service_id,
        team=admission.team,
        method=head.method,
        path_and_query=head.path_and_query,
        headers=headers,
        body=body if head.has_body else entry.NoBody(),
        arrived_at_ms=log_entry.started_at_ms,
        deadline_ms=admission.deadline_ms,
        max_attempts=min(
            route.max_attempts, head.attempts_left or route.max_attempts
        ),
        key_digest=head.key_digest,
    )


async def _discard_body(
    head: requesthead.RequestHead,
    body: entry.RequestBody,
    writer: responsewriter.ResponseWriter,
) -> None:
    """Read the body of a refused request, or set the connection to close.

    Closing a connection with unread bytes resets it, so that the caller
    might not see the refusal.
    """
    if not head.has_body:
        return
    with anyio.move_on_after(_DISCARD_TIMEOUT_S):
        await body.preload()
    writer.closes_connection |= not body.is_ended
