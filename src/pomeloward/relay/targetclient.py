"""Sends a request to one target and judges its answer."""

import collections.abc
import typing

import httpx

from pomeloward import balance
from pomeloward import dispatch
from pomeloward import model
from pomeloward import replica
from pomeloward.dispatch import link as links
from pomeloward.dispatch import outgoing
from pomeloward.relay import admittedrequest
from pomeloward.relay import attemptresult
from pomeloward.relay import httpconventions
from pomeloward.relay import responsereader

# A round trip takes 3 ms at most; a target that doesn't accept in this time
# is down, cut off or overloaded, and the request can still go elsewhere.
CONNECT_TIMEOUT_MS = 250.0
_FIRST_BYTE = "http11.send_request_headers.started"
_PLACED_ELSEWHERE = 421

Headers = dispatch.Headers


class _BodyStream(httpx.AsyncByteStream):
    """Gives the transport a body from its start."""

    def __init__(self, body: dispatch.Body) -> None:
        self._body = body

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        async for chunk in self._body.chunks():
            yield chunk


class TargetClient:
    """Runs attempts over the kept connections of this host."""

    def __init__(
        self,
        target_links: dispatch.Links,
        dialect: httpconventions.HttpConventions,
        connections: collections.abc.Callable[[model.ServiceId], int],
    ) -> None:
        self._links = target_links
        self._dialect = dialect
        self._connections = connections

    async def send(
        self,
        call: admittedrequest.AdmittedRequest,
        run: balance.Attempt,
        target: replica.Target,
        evidence: dispatch.RunEvidence,
    ) -> attemptresult.AttemptResult:
        """Send a request; the result says how the target did."""
        link = self._link(target)
        link.enter(model.now_ms())
        sent = _Sent(evidence)
        try:
            response = await link.transport.handle_async_request(
                self._request(call, target, link, sent)
            )
            return await self._judge(call, run, response, evidence)
        except httpx.HTTPError as error:
            return _failed(run, error, sent.is_begun)
        finally:
            link.leave(model.now_ms())

    def _link(self, target: replica.Target) -> links.Link:
        found = self._links.find(target)
        if found is not None:
            return found
        return self._links.make(
            target, self._connections(target.service), model.now_ms()
        )

    def _request(
        self,
        call: admittedrequest.AdmittedRequest,
        target: replica.Target,
        link: links.Link,
        sent: "_Sent",
    ) -> httpx.Request:
        dialect = self._dialect
        left_ms = max(1, int(call.deadline_ms - model.now_ms()))
        headers = [
            *call.headers,
            (dialect.request_id_header, call.id.encode("latin-1")),
            (dialect.timeout_ms_header, b"%d" % left_ms),
            (dialect.target_id_header, target.id.encode("latin-1")),
        ]
        if call.team is not None:
            headers.append(
                (dialect.team_id_header, call.team.id.encode("utf-8"))
            )
        timeout = {
            "connect": CONNECT_TIMEOUT_MS / 1_000,
            "pool": CONNECT_TIMEOUT_MS / 1_000,
            "read": None,
            "write": None,
        }
        return outgoing.outgoing(
            call.method,
            link.base,
            call.path_and_query,
            headers,
            _BodyStream(call.body),
            {"timeout": timeout, "trace": sent.trace},
        )

    async def _judge(
        self,
        call: admittedrequest.AdmittedRequest,
        run: balance.Attempt,
        response: httpx.Response,
        evidence: dispatch.RunEvidence,
    ) -> attemptresult.AttemptResult:
        dialect = self._dialect
        head = {name.lower(): value for name, value in response.headers.raw}
        status = response.status_code
        if (
            head.get(dialect.request_id_header, b"").decode("latin-1")
            != call.id
        ):
            await response.aclose()
            return attemptresult.AttemptResult(
                run,
                balance.Outcome.ERROR,
                f"{status} answers another request",
            )
        is_not_run = (
            dialect.not_run_header in head
            or status in dialect.target_not_run_statuses
        )
        if is_not_run:
            return await self._not_run(run, response, evidence)
        is_success = 200 <= status < 300
        if is_success and (
            dialect.signature_header not in head or b"content-encoding" in head
        ):
            await response.aclose()
            return attemptresult.AttemptResult(
                run, balance.Outcome.ERROR, f"{status} is not a whole answer"
            )
        answer = await responsereader.read_response(call, response)
        if status >= 500 or status < 200:
            return attemptresult.AttemptResult(
                run,
                balance.Outcome.ERROR,
                f"answered {status}",
                response=answer,
            )
        return attemptresult.AttemptResult(
            run, balance.Outcome.OK, f"answered {status}", response=answer
        )

    @staticmethod
    async def _not_run(
        run: balance.Attempt,
        response: httpx.Response,
        evidence: dispatch.RunEvidence,
    ) -> attemptresult.AttemptResult:
        status = response.status_code
        proof = model.NotRunProof(
            model.NotRunReason.REFUSED_BY_CONTRACT, f"answered {status}"
        )
        evidence.prove_not_run(proof)
        # A short body is read to its end to keep the connection.
        await responsereader.read_up_to(
            response, responsereader.MAX_BUFFERED_BYTES
        )
        await response.aclose()
        ending = (
            balance.Outcome.MISPLACED
            if status == _PLACED_ELSEWHERE
            else balance.Outcome.SHED
        )
        return attemptresult.AttemptResult(
            run, ending, f"refused with {status}", proof=proof
        )


class _Sent:
    """Notes when the first byte of an attempt leaves."""

    def __init__(self, evidence: dispatch.RunEvidence) -> None:
        self.is_begun = False
        self._evidence = evidence

    async def trace(self, event: str, info: dict[str, typing.Any]) -> None:
        """Take an event of the transport."""
        if event == _FIRST_BYTE and not self.is_begun:
            self.is_begun = True
            self._evidence.mark_sent()


def _failed(
    run: balance.Attempt, error: httpx.HTTPError, is_sent: bool
) -> attemptresult.AttemptResult:
    name = type(error).__name__
    if is_sent:
        return attemptresult.AttemptResult(run, balance.Outcome.ERROR, name)
    proof = model.NotRunProof(model.NotRunReason.NOT_SENT, name)
    return attemptresult.AttemptResult(
        run, balance.Outcome.UNREACHABLE, name, proof=proof
    )
