"""Tests of requests that crash each target that begins to run them."""

import anyio
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_NAMES = ("s1", "s2", "s3", "s4", "s5", "s6")
_CRASHES_BEFORE_QUARANTINE = 3
# Time for the other hosts to hear of the third crash.
_NEWS_S = 1.0


async def _crash_if_deadly(server, stream, request, headers):
    if "x-deadly" not in headers:
        await servers.answer(server, stream, request, headers)
        return
    server.ran.append(request)
    server.crash()
    await anyio.sleep_forever()


def _make_deadly(world):
    for server in world.servers.values():
        server.behave = _crash_if_deadly


def _crash_times_s(world):
    return sorted(
        at_s
        for server in world.servers.values()
        for at_s in server.crashed_at_s
    )


async def _send_deadly(world, node, method="GET", path="/safe/deadly"):
    response = await world.request(
        method, path, node=node, headers=[("X-Deadly", "1")]
    )
    await anyio.sleep(0.15)
    return response


@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/safe/deadly"), ("POST", "/order/deadly")]
)
async def test_request_that_crashed_three_targets_reaches_no_other(
    world, method, path
):
    """One request ended target after target, at whichever host it came."""
    async with world.running(nodes=("n1", "n2", "n3"), names=_NAMES):
        _make_deadly(world)
        for _ in range(10):
            for node in world.nodes:
                await _send_deadly(world, node, method, path)
        at_s = _crash_times_s(world)
        third_at_s = at_s[_CRASHES_BEFORE_QUARANTINE - 1]
        assert at_s[-1] <= third_at_s + _NEWS_S
        assert len(at_s) <= 2 * _CRASHES_BEFORE_QUARANTINE


async def test_quarantined_request_is_refused_at_once_as_not_run(world):
    async with world.running(names=_NAMES):
        _make_deadly(world)
        for _ in range(3):
            await _send_deadly(world, "n1")
        count = len(_crash_times_s(world))
        started_s = anyio.current_time()
        response = await world.get("/safe/deadly", headers=[("X-Deadly", "1")])
        assert response.status_code == 503
        assert float(response.headers["retry-after"]) > 1
        assert anyio.current_time() - started_s < 0.2
        assert len(_crash_times_s(world)) == count


async def test_other_requests_are_served_beside_a_quarantined_one(world):
    async with world.running(names=_NAMES):
        _make_deadly(world)
        for _ in range(4):
            await _send_deadly(world, "n1")
        statuses = [
            (await world.get(f"/safe/{number}")).status_code
            for number in range(20)
        ]
        assert statuses == [200] * 20


async def test_host_that_starts_later_learns_of_the_quarantine(world):
    """A restarted host sent a quarantined request to targets again."""
    async with world.running(nodes=("n1", "n2", "n3"), names=_NAMES):
        _make_deadly(world)
        for _ in range(3):
            for node in world.nodes:
                await _send_deadly(world, node)
        world.scopes["n2"].cancel()
        await anyio.sleep(0.5)
        world.start_node("n2", "a", is_first=False)
        await world.wait_ready("n2")
        await anyio.sleep(3.0)
        count = len(_crash_times_s(world))
        for _ in range(4):
            await _send_deadly(world, "n2")
        assert len(_crash_times_s(world)) == count


@pytest.mark.parametrize("behavior", [servers.close, servers.cut_short])
async def test_request_to_targets_that_only_close_connections_is_served_later(
    world, behavior
):
    """Targets that still accept connections have not crashed."""
    async with world.running(names=("s1", "s2")):
        for server in world.servers.values():
            server.behave = behavior
        for _ in range(8):
            await world.get("/safe/")
        for server in world.servers.values():
            server.behave = servers.answer
        statuses = []
        for _ in range(12):
            statuses.append((await world.get("/safe/")).status_code)
            await anyio.sleep(0.1)
        assert statuses[-4:] == [200] * 4
