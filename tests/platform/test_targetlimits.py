"""Tests of targets that name the rate that they take from all hosts."""

import anyio
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_WINDOW_S = 4.0
_LOAD_INTERVAL_S = 0.05


def _allowed_requests(limit_per_s):
    """Return how many requests may arrive in ``_WINDOW_S``."""
    return 1.5 * limit_per_s * _WINDOW_S + 5


class _ArrivalRecorder:
    """Answers by another behavior, and records when requests arrive."""

    def __init__(self, behave):
        self.behave = behave
        self.arrived_s = []

    async def __call__(self, server, stream, request, headers):
        self.arrived_s.append(anyio.current_time())
        await self.behave(server, stream, request, headers)

    def most_in_a_window(self, from_s):
        """Return the largest number in a window that ends after a time."""
        return max(
            (
                sum(end_s - _WINDOW_S < one <= end_s for one in self.arrived_s)
                for end_s in self.arrived_s
                if end_s >= from_s
            ),
            default=0,
        )


async def _call_all_hosts(world, duration_s):
    """Send look-ups to all hosts in turn; return the statuses."""
    statuses = []

    async def call(node):
        response = await world.get("/safe/", node=node)
        statuses.append(response.status_code)

    ends_at_s = anyio.current_time() + duration_s
    async with anyio.create_task_group() as calls:
        while anyio.current_time() < ends_at_s:
            for node in world.nodes:
                calls.start_soon(call, node)
            await anyio.sleep(_LOAD_INTERVAL_S)
    return statuses


async def test_limited_target_gets_its_limit_from_all_hosts_together(world):
    async with world.running(
        nodes=("n1", "n2", "n3"), names=("s1", "s2", "s3")
    ):
        arrivals = _ArrivalRecorder(servers.limited("2.0"))
        world.servers["s1"].behave = arrivals
        started_s = anyio.current_time()
        statuses = await _call_all_hosts(world, 8.0)
        assert arrivals.most_in_a_window(started_s + 3) <= _allowed_requests(2)
        assert statuses.count(200) >= 0.98 * len(statuses)


async def test_limit_is_used_in_full_when_no_other_target_has_room(world):
    """Requests were refused although the target could take them."""
    async with world.running(nodes=("n1", "n2", "n3"), names=("s1",)):
        arrivals = _ArrivalRecorder(servers.limited("8.0"))
        world.servers["s1"].behave = arrivals
        started_s = anyio.current_time()
        statuses = await _call_all_hosts(world, 9.0)
        assert arrivals.most_in_a_window(started_s + 3) <= _allowed_requests(8)
        steady = [one for one in arrivals.arrived_s if one >= started_s + 3]
        assert len(steady) >= 0.75 * 8 * 6
        assert set(statuses) == {200, 503}


@pytest.mark.parametrize(
    "behavior", [servers.unsigned, servers.shed, servers.fail]
)
async def test_answer_without_signature_does_not_end_a_limit(world, behavior):
    """One answer from elsewhere let through all requests that waited."""
    async with world.running(names=("s1", "s2")):
        world.servers["s1"].behave = servers.limited("0.5")
        while not world.servers["s1"].seen:
            await world.get("/safe/")
        arrivals = _ArrivalRecorder(behavior)
        world.servers["s1"].behave = arrivals
        await _call_all_hosts(world, 3.0)
        assert 1 <= len(arrivals.arrived_s) <= 2


async def test_target_gets_all_requests_again_after_its_limit(world):
    async with world.running(nodes=("n1", "n2"), names=("s1",)):
        world.servers["s1"].behave = servers.limited("1.0")
        await _call_all_hosts(world, 2.0)
        world.servers["s1"].behave = servers.answer
        await _call_all_hosts(world, 2.0)
        statuses = await _call_all_hosts(world, 2.0)
        assert statuses.count(200) >= 0.9 * len(statuses)
