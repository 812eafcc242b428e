"""Tests of several hosts together, metrics and the graceful stop."""

import itertools

import anyio
import httpx
import pytest

from pomeloward.edge import shutdownschedule
from tests.platform import fleet
from tests.platform import log
from tests.platform import server as servers

pytestmark = pytest.mark.anyio


async def test_changes_in_the_store_reach_all_hosts_in_few_reads(world):
    async with world.running(nodes=("n1", "n2", "n3")):
        await anyio.sleep(2.0)
        calls_before = world.store.calls
        world.store.put("op/config", fleet.configuration(2, tenants=[]))
        await anyio.sleep(1.8)
        for node in ("n1", "n2", "n3"):
            response = await world.get("/safe/", node, key=None)
            assert response.status_code == 200
        assert world.store.calls - calls_before <= 5


async def test_all_hosts_return_the_same_address(world):
    async with world.running(nodes=("n1", "n2", "n3")):
        await anyio.sleep(1.5)
        lookups = [await world.resolve(node) for node in world.nodes]
        assert len({tuple(lookup["addresses"]) for lookup in lookups}) == 1
        assert len(lookups[0]["addresses"]) == 1
        assert 0 < lookups[0]["ttl-s"] <= 5


async def test_failed_host_is_replaced_in_address_lookups(world):
    async with world.running(nodes=("n1", "n2", "n3")):
        await anyio.sleep(1.5)
        (first_address,) = (await world.resolve())["addresses"]
        failed_host = next(
            name
            for name, ip_address in world.addresses.items()
            if first_address.startswith(f"{ip_address}:")
        )
        world.scopes[failed_host].cancel()
        await anyio.sleep(3.0)
        for name in world.nodes.keys() - {failed_host}:
            (address,) = (await world.resolve(name))["addresses"]
            assert address != first_address


async def test_metrics_count_requests(world):
    async with world.running():
        await world.get("/safe/")
        response = await world.client.get(
            world.url("n1", "metrics") + "/metrics"
        )
        assert 'pomeloward_requests_total{status="200"} 1' in response.text
        assert "pomeloward_request_seconds" in response.text


async def _get_unless_closed(world, request):
    """Send a request; one that crosses the close reaches no target."""
    try:
        await world.get("/safe/", headers=[("X-Request-Id", request)])
    except (httpx.ReadError, httpx.RemoteProtocolError):
        assert request not in {name for name, *_ in world.seen()}


async def test_graceful_stop_lets_open_requests_end(world):
    async def answer_late(server, stream, request_id, headers):
        await anyio.sleep(0.8)
        await servers.answer(server, stream, request_id, headers)

    async with world.running(names=("s1",)):
        world.servers["s1"].behave = answer_late
        responses = []

        async def send_request():
            responses.append(await world.request("POST", "/order/"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_request)
            await anyio.sleep(0.2)
            world.nodes["n1"].start_shutdown()
            await anyio.sleep(0.1)
            readiness = await world.client.get(
                world.url("n1", "ready") + "/ready"
            )
            assert readiness.status_code == 503
            late_response = await world.request("POST", "/order/")
            assert late_response.status_code == 200
            assert late_response.headers["connection"] == "close"
        assert responses[0].status_code == 200
        with anyio.fail_after(6), pytest.raises(httpx.ConnectError):
            for number in itertools.count():
                await anyio.sleep(0.2)
                await _get_unless_closed(world, f"late{number}")


async def test_requests_that_are_open_at_the_exit_are_answered(
    world, monkeypatch
):
    """A request that crossed the decision to exit was cut at its target."""

    async def answer_late(server, stream, request_id, headers):
        await anyio.sleep(0.5)
        await servers.answer(server, stream, request_id, headers)

    monkeypatch.setattr(
        shutdownschedule.ShutdownSchedule,
        "should_exit",
        lambda self, is_idle, now_ms: True,
    )
    responses = []
    with log.captured_lines() as lines:
        async with world.running(names=("s1",)):
            world.servers["s1"].behave = answer_late

            async def send_request():
                responses.append(await world.request("POST", "/order/"))

            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(send_request)
                await anyio.sleep(0.1)
                world.nodes["n1"].start_shutdown()
            await anyio.sleep(0.2)
    assert [one.status_code for one in responses] == [200] * 3
    (exit_line,) = log.lines_of_type(lines, "exit")
    assert exit_line["open_requests"] == 0


async def test_request_that_waits_until_the_exit_is_refused_before_it(world):
    """Its connection was closed, although no target had got the request."""

    async def never_answer(server, stream, request_id, headers):
        await anyio.sleep_forever()

    routes = fleet.configuration()["routes"]
    row = ["slow", fleet.HOST, "/slow/", "non_idempotent", 9.0, 9.0]
    row += [1, None, 2, False, "orders"]
    statuses = {}
    async with world.running(names=("s1",)):
        changed = {**routes, "rows": [*routes["rows"], row]}
        world.store.put(
            "op/config", fleet.configuration(version=2, routes=changed)
        )
        await anyio.sleep(1.0)
        world.servers["s1"].behave = never_answer

        async def order(number):
            try:
                response = await world.request(
                    "POST",
                    "/slow/",
                    headers=[("X-Timeout-Ms", "9000")],
                    timeout=9.0,
                )
                statuses[number] = response.status_code
            except httpx.HTTPError:
                statuses[number] = 0

        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(order, number)
                await anyio.sleep(0.02)
            world.nodes["n1"].start_shutdown()
    waited = [
        status
        for number, status in statuses.items()
        if number >= len(world.servers["s1"].seen)
    ]
    assert waited and set(waited) == {503}


async def test_stop_takes_no_request_that_may_outlast_the_grace(world):
    """Orders that came late in the grace were cut without an answer."""

    async def answer_after_the_grace(server, stream, request_id, headers):
        server.ran.append(request_id)
        await anyio.sleep(5.0)
        await servers.answer(server, stream, request_id, headers)

    slow_route = ["slow", fleet.HOST, "/slow/", "non_idempotent", 5.0, 0.3]
    routes = fleet.configuration()["routes"]
    row = [*slow_route, 1, None, 2, False, "orders"]
    async with world.running(names=("s1",)):
        changed = {**routes, "rows": [*routes["rows"], row]}
        world.store.put(
            "op/config", fleet.configuration(version=2, routes=changed)
        )
        await anyio.sleep(1.0)
        world.nodes["n1"].start_shutdown()
        statuses, cut = [], []
        has_sent_late_order = anyio.Event()

        async def keep_open():
            while not has_sent_late_order.is_set():
                await world.get("/safe/")
                await anyio.sleep(0.05)

        async def order_late():
            try:
                response = await world.request(
                    "POST", "/slow/", headers=[("X-Timeout-Ms", "5000")]
                )
                statuses.append(response.status_code)
            except httpx.HTTPError as error:
                cut.append(type(error).__name__)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_open)
            world.servers["s1"].behave = servers.answer
            await anyio.sleep(3.4)
            world.servers["s1"].behave = answer_after_the_grace
            tasks.start_soon(order_late)
            has_sent_late_order.set()
            await anyio.sleep(0.2)
            world.servers["s1"].behave = servers.answer
        assert not cut
        assert statuses == [503]
        assert not [one for one in world.ran() if one in cut]
