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
from pomeloward.relay import call as calls
from pomeloward.relay import dialect as dialects
from pomeloward.relay import reading
from pomeloward.relay import result as results

# A round trip takes 3 ms at most; a target that doesn't accept in this time
# is down, cut off or overloaded, and the request can still go elsewhere.
CONNECT_MS = 250.0
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


class Sender:
    """Runs attempts over the kept connections of this host."""

    def __init__(
        self,
        target_links: dispatch.Links,
        dialect: dialects.Dialect,
        connections: collections.abc.Callable[[model.ServiceId], int],
    ) -> None:
        self._links = target_links
        self._dialect = dialect
        self._connections = connections

    async def send(
        self,
        call: calls.Call,
        run: balance.Attempt,
        target: replica.Target,
        evidence: dispatch.RunEvidence,
    ) -> results.Result:
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
        call: calls.Call,
        target: replica.Target,
        link: links.Link,
        sent: "_Sent",
    ) -> httpx.Request:
        dialect = self._dialect
        left_ms = max(1, int(call.end_ms - model.now_ms()))
        headers = [
            *call.headers,
            (dialect.request_id, call.id.encode("latin-1")),
            (dialect.timeout_ms, b"%d" % left_ms),
            (dialect.target, target.id.encode("latin-1")),
        ]
        if call.team is not None:
            headers.append((dialect.team, call.team.id.encode("utf-8")))
        timeout = {
            "connect": CONNECT_MS / 1_000,
            "pool": CONNECT_MS / 1_000,
            "read": None,
            "write": None,
        }
        return outgoing.outgoing(
            call.method,
            link.base,
            call.target_path,
            headers,
            _BodyStream(call.body),
            {"timeout": timeout, "trace": sent.trace},
        )

    async def _judge(
        self,
        call: calls.Call,
        run: balance.Attempt,
        response: httpx.Response,
        evidence: dispatch.RunEvidence,
    ) -> results.Result:
        dialect = self._dialect
        head = {name.lower(): value for name, value in response.headers.raw}
        status = response.status_code
        if head.get(dialect.request_id, b"").decode("latin-1") != call.id:
            await response.aclose()
            return results.Result(
                run,
                balance.Outcome.ERROR,
                f"{status} answers another request",
            )
        is_not_run = (
            dialect.not_run in head or status in dialect.not_run_statuses
        )
        if is_not_run:
            return await self._not_run(run, response, evidence)
        is_success = 200 <= status < 300
        if is_success and (
            dialect.signature not in head or b"content-encoding" in head
        ):
            await response.aclose()
            return results.Result(
                run, balance.Outcome.ERROR, f"{status} is not a whole answer"
            )
        answer = await reading.read(call, response)
        if status >= 500 or status < 200:
            return results.Result(
                run, balance.Outcome.ERROR, f"answered {status}", answer=answer
            )
        return results.Result(
            run, balance.Outcome.OK, f"answered {status}", answer=answer
        )

    @staticmethod
    async def _not_run(
        run: balance.Attempt,
        response: httpx.Response,
        evidence: dispatch.RunEvidence,
    ) -> results.Result:
        status = response.status_code
        proof = model.NotRunProof(
            model.NotRunReason.REFUSED_BY_CONTRACT, f"answered {status}"
        )
        evidence.prove_not_run(proof)
        # A short body is read to its end to keep the connection.
        await reading.collect(response, reading.WHOLE_BYTES)
        await response.aclose()
        ending = (
            balance.Outcome.MISPLACED
            if status == _PLACED_ELSEWHERE
            else balance.Outcome.SHED
        )
        return results.Result(
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
) -> results.Result:
    name = type(error).__name__
    if is_sent:
        return results.Result(run, balance.Outcome.ERROR, name)
    proof = model.NotRunProof(model.NotRunReason.NOT_SENT, name)
    return results.Result(run, balance.Outcome.UNREACHABLE, name, proof=proof)
