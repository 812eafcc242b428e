"""Tests of what callers get from targets that fail.

The servers of ``tests.platform.server`` stand in for targets.
Requests to ``/safe/`` are idempotent, those to ``/order/`` are not.
"""

import anyio
import h11
import httpx
import pytest

from pomeloward import wire
from tests.platform import server as servers

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    "behavior",
    [
        servers.fail,
        servers.lie,
        servers.cut_short,
        servers.unsigned,
        servers.hang,
    ],
)
async def test_failed_idempotent_request_is_retried_on_another_target(
    world, behavior
):
    async with world.running():
        world.servers["s1"].behave = behavior
        for _ in range(4):
            response = await world.get("/safe/")
            assert response.status_code == 200
            assert response.text.startswith("s2")


@pytest.mark.parametrize(
    ("behavior", "status"),
    [
        (servers.fail, 500),
        (servers.lie, 502),
        (servers.cut_short, 502),
        (servers.unsigned, 502),
        (servers.hang, 504),
    ],
)
async def test_failed_non_idempotent_request_runs_once(
    world, behavior, status
):
    """The status doesn't claim that the request has not run."""
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = behavior
        response = await world.request("POST", "/order/", content=b"x")
        assert response.status_code == status
        assert len(world.ran()) == 1


@pytest.mark.parametrize("behavior", [servers.shed, servers.misplaced])
async def test_refused_non_idempotent_request_goes_to_another_target(
    world, behavior
):
    async with world.running():
        world.servers["s1"].behave = behavior
        for _ in range(3):
            response = await world.request("POST", "/order/", content=b"x")
            assert response.status_code == 200
        assert not world.servers["s1"].ran


async def test_request_that_all_targets_refuse_is_not_run(world):
    async with world.running():
        for server in world.servers.values():
            server.behave = servers.shed
        response = await world.request("POST", "/order/", content=b"x")
        assert response.status_code == 503
        assert float(response.headers["retry-after"]) > 0
        assert not world.ran()


async def test_response_that_ends_with_its_connection_is_complete(world):
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = servers.without_length
        response = await world.request("POST", "/order/", content=b"x")
        assert response.status_code == 200
        assert response.text == "to the end"


@pytest.mark.parametrize(
    ("path", "status"), [("/safe/", 200), ("/order/", 502)]
)
async def test_error_that_nobody_foresaw_fails_one_attempt_only(
    world, monkeypatch, path, status
):
    """Callers got 500 while other targets were sound."""
    send = wire.Transport.handle_async_request
    failed = []

    async def fail_once(self, request):
        response = await send(self, request)
        # The store is read by GET.
        if request.method == "POST" and not failed:
            failed.append(request)
            await response.aclose()
            raise h11.LocalProtocolError("too little data")
        return response

    async with world.running():
        monkeypatch.setattr(wire.Transport, "handle_async_request", fail_once)
        statuses = [
            (await world.request("POST", path)).status_code for _ in range(6)
        ]
        assert failed
        assert statuses == [status] + [200] * 5


async def test_duplicate_response_of_a_target_is_discarded(world):
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = servers.answer_twice
        first = await world.get("/safe/")
        await anyio.sleep(0.1)
        server.behave = servers.answer
        second = await world.get("/safe/")
        assert second.text.endswith(second.headers["x-request-id"])
        assert first.headers["x-request-id"] != second.headers["x-request-id"]


async def test_unanswered_request_ends_at_its_routes_timeout(world):
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = servers.hang
        started_s = anyio.current_time()
        response = await world.request("POST", "/order/", content=b"x")
        assert response.status_code == 504
        assert 0.9 <= anyio.current_time() - started_s <= 1.25


async def test_truncated_long_response_is_incomplete_at_the_caller(world):
    async def truncate_response(server, stream, request_id, headers):
        server.ran.append(request_id)
        await stream.send(servers.head(request_id, 200, 900_000))
        await stream.send(b"x" * 600_000)
        await stream.aclose()

    async with world.running(names=("s1",)):
        world.servers["s1"].behave = truncate_response
        with pytest.raises(httpx.RemoteProtocolError):
            await world.request("POST", "/order/")


@pytest.mark.parametrize("path", ["/safe/", "/order/"])
async def test_long_response_outlives_the_sweep_of_its_replaced_pool(
    world, path
):
    """Long responses were cut when a target had announced its idle time."""
    size_bytes = 600_000

    async def answer_slowly(server, stream, request, headers):
        server.ran.append(request)
        extra = ["Keep-Alive: timeout=5"]
        await stream.send(servers.head(request, 200, size_bytes, extra))
        for _ in range(10):
            await stream.send(bytes(size_bytes // 10))
            await anyio.sleep(0.05)

    async with world.running(names=("s1",)):
        world.servers["s1"].behave = answer_slowly
        links = world.nodes["n1"]._components.target_links
        bodies = []

        async def pull():
            response = await world.request("POST", path)
            bodies.append(len(response.content))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pull)
            for _ in range(8):
                await anyio.sleep(0.05)
                await links.sweep(anyio.current_time() * 1_000)
        assert bodies == [size_bytes]
        await links.sweep(anyio.current_time() * 1_000)
        assert not links._former


async def test_order_avoids_a_connection_past_its_announced_idle_time(world):
    """The target had dropped the connection, and the order got 502."""
    answered_s = {}

    async def behave(server, stream, request, headers):
        now_s = anyio.current_time()
        if now_s - answered_s.get(id(stream), now_s) > 1.0:
            await stream.aclose()
            raise anyio.EndOfStream
        server.ran.append(request)
        extra = ["Keep-Alive: timeout=1"]
        await stream.send(servers.head(request, 200, 2, extra) + b"ok")
        answered_s[id(stream)] = anyio.current_time()

    async with world.running(names=("s1",)):
        world.servers["s1"].behave = behave
        for _ in range(3):
            response = await world.request("POST", "/order/", content=b"x")
            assert response.status_code == 200
            await anyio.sleep(1.2)
