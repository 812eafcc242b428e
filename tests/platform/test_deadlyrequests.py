"""Tests of requests that crash each target that begins to run them."""

import anyio
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_NAMES = ("s1", "s2", "s3", "s4", "s5", "s6")
_CRASHES_BEFORE_QUARANTINE = 3
# Time for the other hosts to hear of the third crash.
_NEWS_S = 1.0


class _Crashes:
    """Answers well, except to requests that crash their target."""

    def __init__(self, world):
        self.at_s = []
        for server in world.servers.values():
            server.behave = self

    async def __call__(self, server, stream, request, headers):
        if "x-deadly" not in headers:
            await servers.answer(server, stream, request, headers)
            return
        server.ran.append(request)
        self.at_s.append(anyio.current_time())
        await stream.aclose()

    def count_after_quarantine(self):
        """Return how many came when all hosts could know of three."""
        third_at_s = self.at_s[_CRASHES_BEFORE_QUARANTINE - 1]
        return sum(at_s > third_at_s + _NEWS_S for at_s in self.at_s)


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
        crashes = _Crashes(world)
        for _ in range(10):
            for node in world.nodes:
                await _send_deadly(world, node, method, path)
        assert len(crashes.at_s) >= _CRASHES_BEFORE_QUARANTINE
        assert crashes.count_after_quarantine() == 0
        assert len(crashes.at_s) <= 2 * _CRASHES_BEFORE_QUARANTINE


async def test_quarantined_request_is_refused_at_once_as_not_run(world):
    async with world.running(names=_NAMES):
        crashes = _Crashes(world)
        for _ in range(3):
            await _send_deadly(world, "n1")
        count = len(crashes.at_s)
        started_s = anyio.current_time()
        response = await world.get("/safe/deadly", headers=[("X-Deadly", "1")])
        assert response.status_code == 503
        assert float(response.headers["retry-after"]) > 1
        assert anyio.current_time() - started_s < 0.2
        assert len(crashes.at_s) == count


async def test_other_requests_are_served_beside_a_quarantined_one(world):
    async with world.running(names=_NAMES):
        _Crashes(world)
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
        crashes = _Crashes(world)
        for _ in range(3):
            for node in world.nodes:
                await _send_deadly(world, node)
        world.scopes["n2"].cancel()
        await anyio.sleep(0.5)
        world.start_node("n2", "a", is_first=False)
        await world.wait_ready("n2")
        await anyio.sleep(3.0)
        count = len(crashes.at_s)
        for _ in range(4):
            await _send_deadly(world, "n2")
        assert len(crashes.at_s) == count
