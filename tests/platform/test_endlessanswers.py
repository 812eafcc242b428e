"""Tests of targets whose answers never end."""

import contextlib

import anyio
import httpx
import pytest

from tests.platform import fleet
from tests.platform import log
from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_CHUNK = b"x" * 65_536
# The routes of the tests end after 2 s and 1 s.
_LOOK_UP_S = 2.0
_ORDER_S = 1.0
_SLACK_S = 0.5


async def _send_forever(stream, data, pause_s):
    """Send until the caller closes."""
    with contextlib.suppress(anyio.BrokenResourceError):
        while True:
            await stream.send(data)
            await anyio.sleep(pause_s)
    raise anyio.EndOfStream


async def _endless_body(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(servers.head(request))
    await _send_forever(stream, _CHUNK, 0)


async def _dripping_body(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(servers.head(request))
    await _send_forever(stream, b"x", 0.05)


async def _endless_interim(server, stream, request, headers):
    server.ran.append(request)
    await _send_forever(stream, b"HTTP/1.1 102 Processing\r\n\r\n", 0.001)


async def _endless_head(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(b"HTTP/1.1 200 OK\r\n")
    await _send_forever(stream, b"X-A: " + b"a" * 500 + b"\r\n", 0.001)


async def _dripping_head(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(b"HTTP/1.1 200 OK\r\nX-A: ")
    await _send_forever(stream, b"a", 0.05)


async def _junk(server, stream, request, headers):
    server.ran.append(request)
    await _send_forever(stream, b"\x00junk", 0.001)


async def _endless_trailers(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(
        servers.head(request, extra=["Transfer-Encoding: chunked"])
        + b"2\r\nok\r\n0\r\n"
    )
    await _send_forever(stream, b"X-T: t\r\n", 0.001)


async def _endless_chunk_extension(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(
        servers.head(request, extra=["Transfer-Encoding: chunked"]) + b"2;a="
    )
    await _send_forever(stream, b"a" * 500, 0.001)


async def _refuse_with_endless_body(server, stream, request, headers):
    await stream.send(
        servers.head(
            request, 503, extra=["X-Not-Executed: 1", "Content-Type: text/a"]
        )
    )
    await _send_forever(stream, b"x", 0.02)


_ENDLESS = [
    _endless_body,
    _dripping_body,
    _endless_interim,
    _endless_head,
    _dripping_head,
    _junk,
    _endless_trailers,
    _endless_chunk_extension,
]


async def _call(world, method, path):
    """Return the status, None for a broken answer, and the time it took."""
    started_s = anyio.current_time()
    status = None
    with contextlib.suppress(httpx.RemoteProtocolError):
        status = (await world.request(method, path)).status_code
    return status, anyio.current_time() - started_s


@pytest.mark.parametrize("behavior", _ENDLESS)
async def test_order_ends_with_its_route_time_and_runs_once(world, behavior):
    """Bodies without end were passed on for 40 s."""
    async with world.running():
        for server in world.servers.values():
            server.behave = behavior
        status, took_s = await _call(world, "POST", "/order/")
        assert took_s <= _ORDER_S + _SLACK_S
        # The order may have run, and no answer is whole.
        assert status in (None, 502, 504)
        assert len(world.ran()) == 1
        await anyio.sleep(0.3)
        assert not any(server.open for server in world.servers.values())


@pytest.mark.parametrize("behavior", _ENDLESS)
async def test_look_ups_leave_a_target_that_answers_without_end(
    world, behavior
):
    """The target stayed in use, since its answers counted as good."""
    async with world.running():
        world.servers["s1"].behave = behavior
        for _ in range(6):
            status, took_s = await _call(world, "GET", "/safe/")
            assert took_s <= _LOOK_UP_S + _SLACK_S
        world.servers["s1"].seen.clear()
        statuses = [(await _call(world, "GET", "/safe/"))[0] for _ in range(4)]
        assert statuses.count(200) >= 3
        assert len(world.servers["s1"].seen) <= 1


async def test_refusal_with_endless_body_is_final_with_its_head(world):
    """The proof that the order has not run is complete with the head.

    The order was held for the whole time of its route.
    """
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = _refuse_with_endless_body
        status, took_s = await _call(world, "POST", "/order/")
        assert status == 503
        assert took_s <= _ORDER_S / 2


async def test_long_answer_that_ends_is_passed_on_as_a_whole(world):
    async def answer_long(server, stream, request, headers):
        server.ran.append(request)
        await stream.send(servers.head(request, 200, 20 * len(_CHUNK)))
        for _ in range(20):
            await stream.send(_CHUNK)

    async with world.running(names=("s1",)):
        world.servers["s1"].behave = answer_long
        response = await world.get("/safe/")
        assert response.content == 20 * _CHUNK


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_caller_who_reads_nothing_keeps_no_slot_past_the_deadline(
    world, method
):
    """The slot of the target was taken until the caller left."""
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = _endless_body
        stream = await anyio.connect_tcp(
            world.addresses["n1"], world.ports["front"]
        )
        head = (
            f"{method} /open/ HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
            "X-Request-Id: q\r\nX-Timeout-Ms: 1000\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        async with stream:
            await stream.send(head.encode())
            await anyio.sleep(0.5)
            assert server.open == 1
            await anyio.sleep(1.0 + _SLACK_S)
            assert server.open == 0


async def test_target_whose_body_does_not_end_is_blamed_for_it(world):
    """Guards against endless bodies that count as the caller's fault."""
    with log.captured_lines() as lines:
        async with world.running(names=("s1",)):
            world.servers["s1"].behave = _long_body_that_stops
            with contextlib.suppress(httpx.HTTPError):
                await world.request(
                    "POST", "/order/", headers=[("X-Timeout-Ms", "500")]
                )
            await anyio.sleep(0.3)
    (request,) = log.lines_of_type(lines, "request")
    assert request["reason"].startswith("target ended its response early")


async def _long_body_that_stops(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(servers.head(request) + _CHUNK * 8)
    await stream.receive()
    raise anyio.EndOfStream
