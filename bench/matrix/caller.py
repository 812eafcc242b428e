"""Callers that talk to hosts by ASGI, as hypercorn would."""

import collections.abc
import itertools
import random
import typing

import anyio
import msgspec

from bench.matrix import host as hosts
from bench.matrix import seen
from bench.matrix import steps
from bench.matrix import target

_LATENCY_S = 0.003
_PATIENCE_S = 12.0
_PLACES = ("authorization", "x-api-key", "query", "cookie")


class Caller:
    """Sends single requests and notes what came back."""

    def __init__(
        self, record: seen.Seen, reached: steps.Steps, rng: random.Random
    ) -> None:
        self._seen = record
        self._steps = reached
        self._rng = rng
        self._numbers = itertools.count(1)

    def call(
        self,
        host: hosts.Host,
        kind: str,
        team: str,
        key: str,
        *,
        is_allowed: bool = True,
        marker: str = "",
        order: str = "",
    ) -> seen.Call:
        """Prepare a request; ``kind`` is the route and its options."""
        marker = marker or f"{team or 'open'}-{next(self._numbers)}"
        call = seen.Call(
            marker=marker,
            host=host.name,
            team=team,
            key=key,
            kind=kind,
            sent_at_s=anyio.current_time(),
            is_allowed=is_allowed,
            order=order,
            expected=target.expected_body(marker),
        )
        self._seen.calls.append(call)
        return call

    async def send(self, host: hosts.Host, call: seen.Call) -> seen.Call:
        """Send a prepared request and wait for its end."""
        route, _, option = call.kind.partition("/")
        path = f"/{route}/{call.marker}"
        method = "POST" if route == "orders" else "GET"
        await self._run(host, call, method, path, option)
        return call

    async def ask(
        self, host: hosts.Host, method: str, name: str, key: str
    ) -> seen.Call:
        """Ask a host's own endpoint."""
        call = seen.Call("", host.name, "", key, "own", 0.0, True)
        path, _, query = f"/.pomeloward/{name}".partition("?")
        await self._run(host, call, method, path, query)
        return call

    async def _run(
        self,
        host: hosts.Host,
        call: seen.Call,
        method: str,
        path: str,
        query: str,
    ) -> None:
        await anyio.sleep(_LATENCY_S)
        if call.kind != "own":
            self._steps.reach(steps.Step.CONNECT)
        if host.application is None or not host.is_up:
            call.ended_at_s = anyio.current_time()
            return
        conversation = _Conversation(call, host)
        scope = self._scope(call, method, path, query)
        host.open_calls += 1
        host.spawn(conversation.run, scope)
        try:
            with anyio.move_on_after(_PATIENCE_S):
                await _first(conversation.ended.wait, host.down.wait)
        finally:
            host.open_calls -= 1
            call.has_left = not conversation.ended.is_set()
            conversation.left.set()
            call.ended_at_s = anyio.current_time()
        if call.has_left and host.is_stopped and call.kind != "own":
            self._seen.cut_calls.append(f"{call.marker} at {host.name}")

    def _scope(
        self, call: seen.Call, method: str, path: str, query: str
    ) -> dict[str, typing.Any]:
        headers = [(b"host", b"gateway")]
        if call.order:
            headers.append((b"idempotency-key", call.order.encode()))
        if call.key:
            place = self._rng.choice(_PLACES)
            query = _place_key(place, call.key.encode(), headers, query)
        return {
            "type": "http",
            "http_version": "1.1",
            "scheme": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": headers,
            "client": ("127.0.7.1", 1),
            "extensions": {},
        }


class _Conversation:
    """The ASGI side of one request."""

    def __init__(self, call: seen.Call, host: hosts.Host) -> None:
        self.ended = anyio.Event()
        self.left = anyio.Event()
        self._call = call
        self._host = host
        self._is_sent = False

    async def run(self, scope: dict[str, typing.Any]) -> None:
        assert self._host.application is not None
        await self._host.application(scope, self._receive, self._send)
        self.ended.set()

    async def _receive(self) -> dict[str, typing.Any]:
        if not self._is_sent:
            self._is_sent = True
            return {"type": "http.request", "body": b"", "more_body": False}
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, typing.Any]) -> None:
        if self.left.is_set():
            return
        call = self._call
        if message["type"] == "http.response.start":
            call.status = message["status"]
            for name, value in message["headers"]:
                _note_header(call, name, value)
            return
        call.body += message["body"]
        call.last_at_s = anyio.current_time()
        if not message["more_body"]:
            call.is_complete = True
            _note_refusal(call)


def _note_header(call: seen.Call, name: bytes, value: bytes) -> None:
    if name == b"content-length":
        call.length = int(value)
    elif name == b"pomeloward-run":
        call.run = value.decode()
    elif name == b"pomeloward-request-id":
        call.request_id = value.decode()


def _note_refusal(call: seen.Call) -> None:
    if call.run:
        call.refusal = msgspec.json.decode(call.body)["kind"]


def _place_key(
    place: str, key: bytes, headers: list[tuple[bytes, bytes]], query: str
) -> str:
    if place == "query":
        return "&".join(filter(None, [query, f"key={key.decode()}"]))
    value = b"key=" + key if place == "cookie" else key
    if place == "authorization":
        value = b"Bearer " + key
    headers.append((place.encode(), value))
    return query


async def _first(
    *waits: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    async with anyio.create_task_group() as tasks:

        async def wait(
            one: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        ) -> None:
            await one()
            tasks.cancel_scope.cancel()

        for one in waits:
            tasks.start_soon(wait, one)
