"""Tests of how long an attempt lasts behind an answer to another request."""

import anyio
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio


def _answer(request, body, length=None, extra=()):
    length = len(body) if length is None else length
    return servers.head(request, 200, length, extra) + body


def _second(make_part):
    """Return a behavior that sends a part before a connection's 2nd answer."""
    former = {}

    async def behave(server, stream, request, headers):
        server.ran.append(request)
        known = former.get(id(stream))
        former[id(stream)] = request
        if known is not None:
            await stream.send(make_part(known))
            await anyio.sleep(0.01)
        await stream.send(_answer(request, f"ran {request}".encode()))

    return behave


_PARTS = {
    "cut in a long body": lambda q: _answer(q, b"x" * 100, 4_000),
    "answer to HEAD": lambda q: _answer(q, b"", 4_000),
    "cut in a chunk": lambda q: (
        servers.head(q, 200, None, ["Transfer-Encoding: chunked"])
        + b"fa0\r\nxxx"
    ),
}


@pytest.mark.parametrize("part", _PARTS)
@pytest.mark.parametrize("path", ["/order/", "/safe/"])
async def test_attempt_behind_a_cut_answer_ends_soon(world, part, path):
    """It held its slot and its caller until the deadline."""
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = _second(_PARTS[part])
        seen = []
        for _ in range(2):
            started_s = anyio.current_time()
            response = await world.request("POST", path, content=b"x")
            took_s = anyio.current_time() - started_s
            seen.append((response.status_code, round(took_s, 2)))
        assert seen[1][1] < 0.5, seen


async def test_answer_that_announces_the_close_is_skipped(world):
    """An order that had run and was answered got 502."""
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = _second(
            lambda q: _answer(q, b"x", None, ["Connection: close"])
        )
        statuses = [
            (await world.request("POST", "/order/", content=b"x")).status_code
            for _ in range(2)
        ]
        assert statuses == [200, 200]


@pytest.mark.parametrize("status", [500, 503])
async def test_failure_without_an_id_on_a_new_connection_ends_soon(
    world, status
):
    """It held its slot and its caller until the deadline."""

    async def behave(server, stream, request, headers):
        server.ran.append(request)
        await stream.send(
            b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
        )
        await anyio.sleep(5.0)

    async with world.running(names=("s1",)):
        world.servers["s1"].behave = behave
        started_s = anyio.current_time()
        response = await world.request("POST", "/order/", content=b"x")
        took_s = anyio.current_time() - started_s
        assert took_s < 0.5, (response.status_code, took_s)
