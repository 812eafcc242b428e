"""Tests of answers that come a second time on a connection in use again."""

import anyio
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio


def _answer_bytes(server, request, extra=()):
    body = f"{server.name} ran {request}".encode()
    return servers.head(request, 200, len(body), extra) + body


def _late(when, copy):
    """Return a behavior that repeats the answer before on a connection.

    ``copy`` makes the repeated bytes of the server and the former request.
    ``when`` is "before" or "after" the next request is written, or
    "beside" its answer, which is then sent in the same write.
    """
    former = {}

    async def behave(server, stream, request, headers):
        server.ran.append(request)
        known = former.get(id(stream))
        former[id(stream)] = request
        late = copy(server, known) if known is not None else b""
        if when == "after" and late:
            await stream.send(late)
            await anyio.sleep(0.02)
            late = b""
        await stream.send(late + _answer_bytes(server, request))
        if when == "before":
            await anyio.sleep(0.02)
            await stream.send(copy(server, request))

    return behave


_COPIES = {
    "whole": _answer_bytes,
    "half": lambda server, request: _answer_bytes(server, request)[:60],
    "without id": lambda server, request: _answer_bytes(
        server, request
    ).replace(b"X-Request-Id", b"X-Other"),
}


@pytest.mark.parametrize("copy", _COPIES)
@pytest.mark.parametrize("when", ["before", "after", "beside"])
async def test_look_up_gets_its_own_answer_beside_a_late_one(
    world, when, copy
):
    """The next caller got an answer that was not its own."""
    async with world.running():
        world.servers["s1"].behave = _late(when, _COPIES[copy])
        world.servers["s2"].behave = _late(when, _COPIES[copy])
        for _ in range(8):
            response = await world.get("/safe/")
            if response.status_code == 200:
                request_id = response.request.headers["x-request-id"]
                assert response.headers["x-request-id"] == request_id
                assert response.text.endswith(request_id)
            await anyio.sleep(0.05)


@pytest.mark.parametrize("copy", _COPIES)
@pytest.mark.parametrize("when", ["before", "after", "beside"])
async def test_order_beside_a_late_answer_runs_once(world, when, copy):
    """It gets its own answer, or one that promises nothing."""
    async with world.running():
        for server in world.servers.values():
            server.behave = _late(when, _COPIES[copy])
        statuses = []
        for _ in range(8):
            response = await world.request("POST", "/order/", content=b"x")
            statuses.append(response.status_code)
            if response.status_code == 200:
                request_id = response.request.headers["x-request-id"]
                assert response.text.endswith(request_id)
            await anyio.sleep(0.05)
        assert set(statuses) <= {200, 502}
        ran = world.ran()
        assert len(ran) == len(set(ran))
        if when == "before":
            assert statuses == [200] * 8


async def test_answer_after_a_cancelled_hang_reaches_nobody(world):
    """The caller left, the answer came late, the connection is not reused."""

    async def answer_late(server, stream, request, headers):
        server.ran.append(request)
        await anyio.sleep(0.3)
        await stream.send(_answer_bytes(server, request))

    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = answer_late
        with anyio.move_on_after(0.1):
            await world.get("/safe/")
        server.behave = servers.answer
        for _ in range(4):
            response = await world.get("/safe/")
            request_id = response.request.headers["x-request-id"]
            assert response.text.endswith(request_id)
            await anyio.sleep(0.1)


def _refuse_then_repeat(extra_id, delay_s):
    """Return a behavior that repeats a refusal on the same connection.

    The first request of a connection is refused. For the second one the
    same refusal comes once more, and after ``delay_s`` its own answer.
    ``extra_id`` tells whether the refusals name the request.
    """
    counts, refusals = {}, {}

    async def behave(server, stream, request, headers):
        number = counts[id(stream)] = counts.get(id(stream), 0) + 1
        if number == 1:
            refusal = servers.head(request, 503, 0, ["X-Not-Executed: 1"])
            if not extra_id:
                refusal = refusal.replace(b"X-Request-Id", b"X-Other")
            refusals[id(stream)] = refusal
            await stream.send(
                servers.head(request, 503, 0, ["X-Not-Executed: 1"])
            )
            return
        server.ran.append(request)
        if number == 2:
            await stream.send(refusals[id(stream)])
        await anyio.sleep(delay_s)
        await stream.send(_answer_bytes(server, request))

    return behave


@pytest.mark.parametrize("extra_id", [True, False], ids=["id", "no id"])
@pytest.mark.parametrize("delay_s", [0.0, 0.03])
async def test_repeated_refusal_is_not_taken_for_a_running_order(
    world, extra_id, delay_s
):
    """Callers were told that an order had not run while a target ran it."""
    async with world.running(names=("s1", "s2")):
        for server in world.servers.values():
            server.behave = _refuse_then_repeat(extra_id, delay_s)
        told_not_run = set()
        for _ in range(12):
            response = await world.request("POST", "/order/", content=b"x")
            request_id = response.request.headers["x-request-id"]
            if response.status_code in (408, 421, 429, 503):
                told_not_run.add(request_id)
            if response.status_code == 200:
                assert response.text.endswith(request_id)
        await anyio.sleep(0.1)
        ran = world.ran()
        assert len(ran) == len(set(ran))
        assert not told_not_run & set(ran)


async def test_order_behind_an_answer_of_another_request_gets_its_own(world):
    """It got 502, and each later one on the connection the one before."""
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = _refuse_then_repeat(True, 0.03)
        statuses = []
        for _ in range(12):
            response = await world.request("POST", "/order/", content=b"x")
            statuses.append(response.status_code)
            if len(statuses) > 2 and response.status_code == 503:
                await anyio.sleep(0.1)
        assert set(statuses) == {200, 503}
        # The connection isn't used again, and a new one begins with 503.
        assert statuses[1:3] == [200, 503]
