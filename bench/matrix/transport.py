"""The way from a host to fake targets, in place of httpx's transport."""

import collections.abc
import json
import math
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import httpx

from bench.matrix import exchange
from bench.matrix import pauses
from bench.matrix import steps
from bench.matrix import target as targets
from pomeloward import dispatch
from pomeloward import model
from pomeloward.dispatch import link

_CONNECT_S = 0.001
_FIRST_BYTE = "http11.send_request_headers.started"

Targets = collections.abc.Mapping[model.TargetId, targets.Target]


class Transport(httpx.AsyncHTTPTransport):
    """Carries one host's requests to one target.

    Like httpx's, it calls the trace function just before the first byte
    leaves, and it raises httpx's errors.
    """

    def __init__(
        self,
        host: model.HostId,
        target: targets.Target,
        tasks: anyio.abc.TaskGroup,
        reached: steps.Steps,
    ) -> None:
        self._host = host
        self._target = target
        self._tasks = tasks
        self._steps = reached

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return the head of its answer."""
        if request.method == "DELETE":
            return await self._cancel(request)
        body = b""
        async for chunk in typing.cast(
            "httpx.AsyncByteStream", request.stream
        ):
            body += chunk
        path = request.url.raw_path
        headers = list(request.headers.raw)
        sent = exchange.Sent(self._host, request.method, path, headers)
        await anyio.sleep(_CONNECT_S)
        self._steps.reach(steps.Step.DISPATCH)
        await anyio.lowlevel.checkpoint()
        if self._target.is_cut(self._host):
            self._target.note_connect(sent)
            raise httpx.ConnectError("no connection")
        await request.extensions["trace"](_FIRST_BYTE, {})
        return await self._exchange(sent)

    async def aclose(self) -> None:
        """Close nothing."""

    async def _exchange(self, sent: exchange.Sent) -> httpx.Response:
        sent.on_chunk = lambda: self._steps.reach(steps.Step.STREAM)
        # The run goes on at the target whatever becomes of the host.
        outside = pauses.HOST.set(None)
        self._tasks.start_soon(self._target.serve, sent)
        pauses.HOST.reset(outside)
        try:
            await sent.has_head.wait()
        except BaseException:
            sent.gone.set()
            raise
        return httpx.Response(
            sent.status,
            headers=sent.answer_headers,
            stream=exchange.BodyStream(sent),
        )

    async def _cancel(self, request: httpx.Request) -> httpx.Response:
        await anyio.sleep(_CONNECT_S)
        if self._target.is_cut(self._host):
            raise httpx.ConnectError("no connection")
        name = request.url.path.rpartition("/")[2]
        body = json.dumps({"run": self._target.cancel(name)}).encode()
        sent = exchange.Sent(self._host, "DELETE", b"/", [])
        sent.end(body)
        return httpx.Response(200, stream=exchange.BodyStream(sent))


class FakeLinks(dispatch.Links):
    """Gives links to fake targets."""

    def __init__(
        self,
        host: model.HostId,
        fakes: Targets,
        tasks: anyio.abc.TaskGroup,
        reached: steps.Steps,
    ) -> None:
        self._host = host
        self._fakes = fakes
        self._tasks = tasks
        self._steps = reached
        self._links: dict[model.TargetId, link.Link] = {}

    def find(self, target: dispatch.Reachable) -> link.Link | None:
        """Return the link to a target, if it was made."""
        return self._links.get(target.id)

    def make(
        self,
        target: dispatch.Reachable,
        connections: int,
        now_ms: float,
        idle_ms: float = math.inf,
    ) -> link.Link:
        """Make the link to a target."""
        transport = Transport(
            self._host, self._fakes[target.id], self._tasks, self._steps
        )
        made = link.Link(target.url, transport, now_ms, idle_ms)
        self._links[target.id] = made
        return made

    async def run(self) -> None:
        """Sweep nothing."""
        await anyio.sleep_forever()

    async def aclose(self) -> None:
        """Close nothing."""
