"""Tests of servers that fail, from the callers' side."""

import anyio
import httpx
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    "behave",
    [
        servers.fail,
        servers.lie,
        servers.cut_short,
        servers.unsigned,
        servers.hang,
    ],
)
async def test_failed_request_that_may_repeat_is_served_elsewhere(
    world, behave
):
    async with world.running():
        world.servers["s1"].behave = behave
        for _ in range(4):
            answer = await world.get("/safe/")
            assert answer.status_code == 200
            assert answer.text.startswith("s2")


@pytest.mark.parametrize(
    ("behave", "status"),
    [
        (servers.fail, 500),
        (servers.lie, 502),
        (servers.cut_short, 502),
        (servers.unsigned, 502),
        (servers.hang, 504),
    ],
)
async def test_order_runs_once_and_failure_promises_nothing(
    world, behave, status
):
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = behave
        answer = await world.request("POST", "/order/", content=b"x")
        assert answer.status_code == status
        assert len(world.ran()) == 1


@pytest.mark.parametrize("behave", [servers.shed, servers.misplaced])
async def test_refused_order_goes_to_another_server(world, behave):
    async with world.running():
        world.servers["s1"].behave = behave
        for _ in range(3):
            answer = await world.request("POST", "/order/", content=b"x")
            assert answer.status_code == 200
        assert not world.servers["s1"].ran


async def test_refusal_by_all_is_a_true_promise(world):
    async with world.running():
        for server in world.servers.values():
            server.behave = servers.shed
        answer = await world.request("POST", "/order/", content=b"x")
        assert answer.status_code == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not world.ran()


async def test_answer_that_ends_with_its_connection_is_whole(world):
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = servers.without_length
        answer = await world.request("POST", "/order/", content=b"x")
        assert answer.status_code == 200
        assert answer.text == "to the end"


async def test_second_answer_reaches_nobody(world):
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = servers.answer_twice
        first = await world.get("/safe/")
        await anyio.sleep(0.1)
        server.behave = servers.answer
        second = await world.get("/safe/")
        assert second.text.endswith(second.headers["x-request-id"])
        assert first.headers["x-request-id"] != second.headers["x-request-id"]


async def test_hung_order_is_answered_at_its_routes_time(world):
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = servers.hang
        began = anyio.current_time()
        answer = await world.request("POST", "/order/", content=b"x")
        assert answer.status_code == 504
        assert 0.9 <= anyio.current_time() - began <= 1.25


async def test_long_answer_that_is_cut_is_never_whole(world):
    async def long_cut(server, stream, request, headers):
        server.ran.append(request)
        await stream.send(servers.head(request, 200, 900_000))
        await stream.send(b"x" * 600_000)
        await stream.aclose()

    async with world.running(names=("s1",)):
        world.servers["s1"].behave = long_cut
        with pytest.raises(httpx.RemoteProtocolError):
            await world.request("POST", "/order/")
