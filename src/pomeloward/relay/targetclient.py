"""HTTP client that sends a request to a target and checks the response."""

import collections.abc

import eliot
import httpx

from pomeloward import balance
from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import replica
from pomeloward import wire
from pomeloward.dispatch import link as links
from pomeloward.dispatch import outgoing
from pomeloward.relay import admittedrequest
from pomeloward.relay import attemptresult
from pomeloward.relay import errortext
from pomeloward.relay import heldbytes
from pomeloward.relay import httpconventions
from pomeloward.relay import noticereader
from pomeloward.relay import pathprobe
from pomeloward.relay import requestbodystream
from pomeloward.relay import responsereader
from pomeloward.relay import sendobserver
from pomeloward.relay import targetprobe as targetprobes

# A round trip takes at most 3 ms. A target that accepts no connection in this
# time is down, cut off or overloaded, and the request can still be sent to
# another target.
CONNECT_TIMEOUT_MS = 250.0
# Part of its announced idle time after which a connection isn't used again:
# the target closes it while a request may be on its way.
_IDLE_TIME_RATIO = 0.8

Headers = dispatch.Headers


class TargetClient:
    """Sends attempts over this host's persistent connections to targets.

    ``max_connections_for`` returns how many connections this host may open
    to a target of a service. ``on_notice`` is called with what a target
    announces in each answer. ``target_probe`` and ``path_probe`` tell whether
    a target that closed a connection has crashed. ``held_bytes`` limits what
    is buffered of answers.
    """

    def __init__(
        self,
        target_links: dispatch.Links,
        conventions: httpconventions.HttpConventions,
        max_connections_for: collections.abc.Callable[[model.ServiceId], int],
        on_notice: noticereader.OnNotice,
        target_probe: targetprobes.TargetProbe,
        path_probe: pathprobe.PathProbe,
        held_bytes: heldbytes.HeldBytes,
    ) -> None:
        self._links = target_links
        self._conventions = conventions
        self._max_connections_for = max_connections_for
        self._on_notice = on_notice
        self._notice_reader = noticereader.NoticeReader(conventions)
        self._target_probe = target_probe
        self._path_probe = path_probe
        self._held_bytes = held_bytes

    async def send(
        self,
        request: admittedrequest.AdmittedRequest,
        attempt: balance.Attempt,
        target: replica.Target,
        run_evidence: dispatch.RunEvidence,
    ) -> attemptresult.AttemptResult:
        """Send a request to a target and return the result of the attempt.

        ``run_evidence`` is told whether the request may have run.
        """
        send_observer = sendobserver.SendObserver(run_evidence)
        result = await self._send_observed(
            request, attempt, target, run_evidence, send_observer
        )
        result.connection_use = send_observer.connection_use
        return result

    async def _send_observed(
        self,
        request: admittedrequest.AdmittedRequest,
        attempt: balance.Attempt,
        target: replica.Target,
        run_evidence: dispatch.RunEvidence,
        send_observer: sendobserver.SendObserver,
    ) -> attemptresult.AttemptResult:
        """Send a request and classify how the attempt ended."""
        response: httpx.Response | None = None
        try:
            link = self._get_link(target)
        except httpx.InvalidURL as error:
            return _transport_failure(attempt, error, is_sent=False)
        link.enter(model.now_ms())
        try:
            response = await link.transport.handle_async_request(
                self._make_request(request, target, link, send_observer)
            )
            result = await self._check_response(
                request, attempt, target, response, run_evidence
            )
            if result.response is not None:
                result.response.hold_link(link)
            return result
        except entry.BodyNotReadable as error:
            return attemptresult.AttemptResult(
                attempt, balance.Outcome.ABANDONED, str(error)
            )
        except httpx.HTTPError as error:
            result = _transport_failure(
                attempt, error, send_observer.has_started
            )
            if send_observer.has_started and response is None:
                result.has_crashed_target = await self._is_down(target)
            return result
        except model.PomelowardError:
            raise
        # The transport lets some errors of its libraries through. One attempt
        # has failed then, and another target may still serve the request.
        except Exception as error:  # noqa: BLE001
            eliot.write_traceback()
            if response is not None:
                await response.aclose()
            return _transport_failure(
                attempt, error, send_observer.has_started
            )
        finally:
            link.leave(model.now_ms())

    async def _is_down(self, target: replica.Target) -> bool:
        """Return whether a target accepts no connections, while others do.

        If none does, it is this host's path that is broken.
        """
        if await self._target_probe.accepts_connections(target):
            return False
        return await self._path_probe.connects_to_any()

    def _get_link(self, target: replica.Target) -> links.Link:
        """Return the connection pool for a target's current address."""
        link = self._links.find(target)
        if link is not None:
            return link
        return self._links.make(
            target, self._max_connections_for(target.service), model.now_ms()
        )

    def _limit_idle_time(
        self, target: replica.Target, announced_ms: float | None
    ) -> None:
        """Replace the pool of a target that announces a shorter idle time."""
        link = self._links.find(target)
        if announced_ms is None or link is None:
            return
        idle_ms = announced_ms * _IDLE_TIME_RATIO
        if idle_ms < link.max_idle_ms:
            self._links.make(
                target,
                self._max_connections_for(target.service),
                model.now_ms(),
                idle_ms,
            )

    def _make_request(
        self,
        request: admittedrequest.AdmittedRequest,
        target: replica.Target,
        link: links.Link,
        send_observer: sendobserver.SendObserver,
    ) -> httpx.Request:
        """Return the request for the HTTP transport.

        It has no read timeout; the caller of ``send`` bounds the whole time.
        """
        conventions = self._conventions
        remaining_ms = max(1, int(request.deadline_ms - model.now_ms()))
        headers = [
            *request.headers,
            (conventions.request_id_header, request.id.encode("latin-1")),
            (conventions.timeout_ms_header, b"%d" % remaining_ms),
            (conventions.target_id_header, target.id.encode("latin-1")),
        ]
        if request.team is not None:
            headers.append(
                (conventions.team_id_header, request.team.id.encode("utf-8"))
            )
        timeouts_s = {
            "connect": CONNECT_TIMEOUT_MS / 1_000,
            "pool": CONNECT_TIMEOUT_MS / 1_000,
            "read": None,
            "write": None,
        }
        return outgoing.outgoing(
            request.method,
            link.base,
            request.path_and_query,
            headers,
            requestbodystream.RequestBodyStream(request.body),
            {
                "timeout": timeouts_s,
                "trace": send_observer.observe,
                wire.IDENTITY_EXTENSION: wire.RequestIdentity(
                    conventions.request_id_header,
                    request.id.encode("latin-1"),
                ),
            },
        )

    async def _check_response(
        self,
        request: admittedrequest.AdmittedRequest,
        attempt: balance.Attempt,
        target: replica.Target,
        response: httpx.Response,
        run_evidence: dispatch.RunEvidence,
    ) -> attemptresult.AttemptResult:
        """Return the result for a response, read up to the buffer limit."""
        conventions = self._conventions
        headers = {name.lower(): value for name, value in response.headers.raw}
        status = response.status_code
        is_not_run = (
            conventions.not_run_header in headers
            or status in conventions.target_not_run_statuses
        )
        notice = self._notice_reader.read(target.id, response, headers)
        self._limit_idle_time(target, notice.idle_ms)
        self._on_notice(target.id, notice)
        if is_not_run:
            return await self._record_not_run(attempt, response, run_evidence)
        has_success_status = 200 <= status < 300
        if has_success_status and (
            conventions.signature_header not in headers
            or b"content-encoding" in headers
        ):
            await response.aclose()
            return attemptresult.AttemptResult(
                attempt,
                balance.Outcome.ERROR,
                f"response {status} has no signature or is encoded",
            )
        target_response = await responsereader.read_response(
            request, response, self._held_bytes
        )
        target_response.target_id = target.id
        if status >= 500 or status < 200:
            return attemptresult.AttemptResult(
                attempt,
                balance.Outcome.ERROR,
                f"answered {status}",
                response=target_response,
            )
        return attemptresult.AttemptResult(
            attempt,
            balance.Outcome.OK,
            f"answered {status}",
            response=target_response,
        )

    @staticmethod
    async def _record_not_run(
        attempt: balance.Attempt,
        response: httpx.Response,
        run_evidence: dispatch.RunEvidence,
    ) -> attemptresult.AttemptResult:
        """Record the proof that the target did not run the request."""
        status = response.status_code
        not_run_proof = model.NotRunProof(
            model.NotRunReason.REFUSED_BY_CONTRACT, f"answered {status}"
        )
        run_evidence.prove_not_run(not_run_proof)
        await responsereader.discard_body(response)
        outcome = (
            balance.Outcome.MISPLACED
            if status == noticereader.MISDIRECTED_STATUS
            else balance.Outcome.SHED
        )
        return attemptresult.AttemptResult(
            attempt,
            outcome,
            f"refused with {status}",
            not_run_proof=not_run_proof,
        )


def _transport_failure(
    attempt: balance.Attempt, error: Exception, is_sent: bool
) -> attemptresult.AttemptResult:
    """Return the result of an attempt that failed without a response."""
    error_name = type(error).__name__
    if is_sent:
        return attemptresult.AttemptResult(
            attempt,
            balance.Outcome.ERROR,
            error_name,
            error_text=errortext.describe(error),
        )
    not_run_proof = model.NotRunProof(model.NotRunReason.NOT_SENT, error_name)
    return attemptresult.AttemptResult(
        attempt,
        balance.Outcome.UNREACHABLE,
        error_name,
        not_run_proof=not_run_proof,
    )
