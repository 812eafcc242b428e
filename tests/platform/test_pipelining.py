"""Tests of callers that send requests before earlier ones are answered.

They use a socket of their own, since HTTP clients don't pipeline.
"""

import contextlib
import itertools

import anyio
import h11
import pytest

from tests.platform import fleet
from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_RUN_S = 0.25
_NUMBERS = itertools.count(1)


async def _answer_slowly(server, stream, request, headers):
    await anyio.sleep(_RUN_S)
    await servers.answer(server, stream, request, headers)


class Caller:
    """One connection to a host, on which requests may be pipelined."""

    def __init__(self, world):
        self._world = world
        self._stream = None
        self._responses = h11.Connection(h11.CLIENT)

    @contextlib.asynccontextmanager
    async def connected(self):
        world = self._world
        async with await anyio.connect_tcp(
            world.addresses["n1"], world.ports["front"]
        ) as self._stream:
            yield self

    async def send(self, *requests):
        """Send (method, path) pairs at once; return their ids."""
        ids = [f"p{next(_NUMBERS):08}" for _ in requests]
        heads = []
        for request_id, (method, path) in zip(ids, requests, strict=True):
            body = b"x" if method == "POST" else b""
            heads.append(
                (
                    f"{method} {path} HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
                    f"X-Request-Id: {request_id}\r\nX-Timeout-Ms: 3000\r\n"
                    f"Authorization: Token {fleet.KEY}\r\n"
                    + (f"Content-Length: {len(body)}\r\n" if body else "")
                    + "\r\n"
                ).encode()
                + body
            )
        await self._stream.send(b"".join(heads))
        return ids

    async def receive(self):
        """Return id, status and headers of the next response, or None."""
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=_HOST))
        client.send(h11.EndOfMessage())
        left = self._responses.trailing_data[0]
        if left:
            client.receive_data(left)
        self._responses = client
        response = None
        while True:
            event = client.next_event()
            if event is h11.NEED_DATA:
                try:
                    client.receive_data(await self._stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return None
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.EndOfMessage):
                headers = {k.decode(): v.decode() for k, v in response.headers}
                request_id = headers.get("x-request-id", "")
                return request_id, response.status_code, headers

    async def close(self):
        await self._stream.aclose()


_HOST = [("host", "x")]


async def test_pipelined_look_ups_run_side_by_side_and_answer_in_order(world):
    """Four look-ups took four times as long as one."""
    async with world.running(), Caller(world).connected() as caller:
        for server in world.servers.values():
            server.behave = _answer_slowly
        started_s = anyio.current_time()
        ids = await caller.send(*[("GET", "/safe/")] * 4)
        received = [await caller.receive() for _ in ids]
        took_s = anyio.current_time() - started_s
    assert [one[:2] for one in received] == [(one, 200) for one in ids]
    assert took_s < 2 * _RUN_S


async def test_fast_answer_waits_for_the_slow_one_before_it(world):
    async with (
        world.running(names=("s1",)),
        Caller(world).connected() as caller,
    ):
        server = world.servers["s1"]
        server.behave = _answer_slowly
        first = await caller.send(("GET", "/safe/"))
        await anyio.sleep(0.05)
        server.behave = servers.answer
        second = await caller.send(("GET", "/safe/"))
        received = [(await caller.receive())[0] for _ in range(2)]
    assert received == [*first, *second]
    assert server.ran == [*second, *first]


async def test_order_behind_a_look_up_waits_until_that_is_answered(world):
    """Its caller repeats it when the connection ends before its turn."""
    async with (
        world.running(names=("s1",)),
        Caller(world).connected() as caller,
    ):
        server = world.servers["s1"]
        server.behave = _answer_slowly
        look_up, order = await caller.send(
            ("GET", "/safe/"), ("POST", "/order/")
        )
        await anyio.sleep(_RUN_S / 2)
        assert [one[0] for one in server.seen] == [look_up]
        received = [(await caller.receive())[:2] for _ in range(2)]
    assert received == [(look_up, 200), (order, 200)]
    assert server.ran == [look_up, order]


async def test_look_up_of_a_route_that_cannot_be_repeated_waits(world):
    async with (
        world.running(names=("s1",)),
        Caller(world).connected() as caller,
    ):
        server = world.servers["s1"]
        server.behave = _answer_slowly
        first, second = await caller.send(
            ("GET", "/safe/"), ("GET", "/order/")
        )
        await anyio.sleep(_RUN_S / 2)
        assert [one[0] for one in server.seen] == [first]
        received = [(await caller.receive())[0] for _ in range(2)]
    assert received == [first, second]


async def test_caller_that_leaves_ends_all_of_its_requests(world):
    async with (
        world.running(names=("s1",)),
        Caller(world).connected() as caller,
    ):
        server = world.servers["s1"]
        server.behave = servers.hang
        await caller.send(*[("GET", "/safe/")] * 3)
        await anyio.sleep(0.15)
        assert server.open == 3
        await caller.close()
        await anyio.sleep(0.3)
        assert server.open == 0


async def test_requests_served_at_a_time_are_bounded(world):
    async with (
        world.running(names=("s1",)),
        Caller(world).connected() as caller,
    ):
        server = world.servers["s1"]
        world.store.put("servers/s1", server.entry(**{"max-concurrency": 50}))
        await anyio.sleep(1.0)
        server.behave = _answer_slowly
        ids = await caller.send(*[("GET", "/safe/")] * 20)
        await anyio.sleep(_RUN_S / 2)
        assert server.open == 8
        received = [(await caller.receive())[0] for _ in ids]
    assert received == ids


async def test_stop_answers_what_is_served_and_closes_after_that(world):
    """The close comes with the last answer, not before served requests."""
    async with world.running(), Caller(world).connected() as caller:
        for server in world.servers.values():
            server.behave = _answer_slowly
        ids = await caller.send(*[("GET", "/safe/")] * 3)
        await anyio.sleep(0.05)
        world.nodes["n1"].start_shutdown()
        received = []
        while (response := await caller.receive()) is not None:
            received.append(response)
    assert [one[:2] for one in received] == [(one, 200) for one in ids]


async def test_draining_host_closes_after_the_requests_it_serves(world):
    """Requests behind the announced close are not forwarded at all."""
    async with (
        world.running(names=("s1",)),
        Caller(world).connected() as caller,
    ):
        server = world.servers["s1"]
        world.store.put("servers/s1", server.entry(**{"max-concurrency": 50}))
        await anyio.sleep(1.0)
        server.behave = _answer_slowly
        world.nodes["n1"].start_shutdown()
        ids = await caller.send(*[("GET", "/safe/")] * 12)
        received = []
        while (response := await caller.receive()) is not None:
            received.append(response)
        await anyio.sleep(_RUN_S)
    answered = [one[0] for one in received]
    assert answered == ids[: len(answered)]
    assert answered and len(answered) < len(ids)
    assert received[-1][2]["connection"] == "close"
    assert all("connection" not in one[2] for one in received[:-1])
    assert sorted(server.ran) == answered


async def test_failed_look_up_spoils_none_of_its_neighbours(world):
    """Each answer goes to its own request while a target fails."""
    async with world.running(), Caller(world).connected() as caller:
        world.servers["s1"].behave = servers.cut_short
        for _ in range(5):
            ids = await caller.send(*[("GET", "/safe/")] * 4)
            received = [await caller.receive() for _ in ids]
            assert [one[0] for one in received] == ids
            assert {one[1] for one in received} <= {200, 502, 503}


async def test_malformed_request_is_refused_after_the_earlier_answers(world):
    async with world.running(), Caller(world).connected() as caller:
        for server in world.servers.values():
            server.behave = _answer_slowly
        ids = await caller.send(*[("GET", "/safe/")] * 2)
        await caller._stream.send(b"not a request\r\n\r\n")
        received = [(await caller.receive())[:2] for _ in ids]
        assert received == [(one, 200) for one in ids]
        assert (await caller.receive())[1] == 400
        assert await caller.receive() is None
