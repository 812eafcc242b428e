"""Tests of targets that announce in their answers what they want."""

import math
import pathlib

import anyio
import pytest

import pomeloward
from tests.platform import arrivals
from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_DRAIN_S = 2.0
# The users' bound for requests that are on their way when a pause begins.
_SETTLING_S = 0.5


async def _call(world, duration_s, path="/safe/", method="GET"):
    """Send requests to all hosts in turn; return statuses and times."""
    responses = []

    async def call(node):
        sent_s = anyio.current_time()
        response = await world.request(method, path, node=node)
        took_s = anyio.current_time() - sent_s
        responses.append((response, took_s))

    ends_at_s = anyio.current_time() + duration_s
    async with anyio.create_task_group() as calls:
        while anyio.current_time() < ends_at_s:
            for node in world.nodes:
                calls.start_soon(call, node)
            await anyio.sleep(0.04)
    return responses


def _statuses(responses):
    return [response.status_code for response, _ in responses]


async def _call_until_any_arrives(world, noted):
    with anyio.fail_after(10):
        while not noted.at_s:
            await _call(world, 0.25)


@pytest.mark.parametrize("refuses", [False, True])
async def test_leaving_target_gets_no_requests_though_registered(
    world, refuses
):
    """The registry went on saying ready, and requests went on arriving."""

    async def behave(server, stream, request, headers):
        if not refuses:
            await servers.leaving(server, stream, request, headers)
            return
        extra = ["Server-Leaving: 1", "X-Not-Executed: 1"]
        await stream.send(servers.head(request, 503, 0, extra))

    async with world.running(nodes=("n1", "n2"), names=("s1", "s2", "s3")):
        await _call(world, 0.5)
        world.servers["s1"].behave = noted = arrivals.Arrivals(behave)
        await _call_until_any_arrives(world, noted)
        await _call(world, _DRAIN_S)
        statuses = _statuses(await _call(world, 1.5))
        assert not noted.count_between(_DRAIN_S, math.inf)
        assert statuses.count(200) >= 0.98 * len(statuses)


async def test_leaving_target_stays_out_when_its_entry_comes_back(world):
    """A restored store listed it again, and it got requests."""
    async with world.running(names=("s1", "s2")):
        world.servers["s1"].behave = servers.leaving
        await _call(world, 1.0)
        entry = world.servers["s1"].entry(sequence=2)
        world.store.delete("servers/s1")
        await anyio.sleep(1.2)
        world.store.put("servers/s1", entry)
        await anyio.sleep(1.2)
        count = len(world.servers["s1"].seen)
        await _call(world, 1.0)
        assert len(world.servers["s1"].seen) == count


async def test_new_start_of_a_target_that_left_gets_requests(world):
    async with world.running(names=("s1", "s2")):
        server = world.servers["s1"]
        server.behave = servers.leaving
        await _call(world, 1.0)
        server.behave = servers.answer
        world.store.put("servers/s1", server.entry(born=2, sequence=1))
        await anyio.sleep(1.2)
        count = len(server.seen)
        await _call(world, 1.0)
        assert len(server.seen) > count


@pytest.mark.parametrize("is_marked", [True, False])
async def test_pausing_target_gets_no_requests_in_its_pause(world, is_marked):
    """A target that asked for 2 s of rest got 75 requests in them."""
    async with world.running(nodes=("n1", "n2"), names=("s1", "s2", "s3")):
        await _call(world, 0.5)
        server = world.servers["s1"]
        pausing = servers.pausing("2.5", is_marked)
        server.behave = noted = arrivals.Arrivals(pausing)
        await _call_until_any_arrives(world, noted)
        statuses = _statuses(await _call(world, 2.5))
        assert not noted.count_between(_SETTLING_S, 2.5)
        assert statuses.count(200) >= 0.98 * len(statuses)
        server.behave = servers.answer
        count = len(server.seen)
        await _call(world, 2.5)
        assert len(server.seen) > count


async def test_request_to_pausing_targets_only_is_refused_at_once(world):
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = servers.pausing("3")
        await world.get("/safe/")
        server.seen.clear()
        responses = await _call(world, 1.0)
        assert set(_statuses(responses)) == {503}
        assert max(took_s for _, took_s in responses) < 0.25
        for response, _ in responses:
            assert 1.0 < float(response.headers["retry-after"]) <= 3.0
        assert len(server.seen) <= 2


async def test_request_whose_objective_outlasts_the_pause_waits(world):
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        for _ in range(5):
            await world.get("/safe/")
        server.behave = servers.pausing("0.12")
        await world.get("/safe/")
        server.behave = servers.answer
        assert (await world.get("/safe/")).status_code == 200


@pytest.mark.parametrize(
    "text",
    [
        "0",
        "-1",
        "soon",
        "Fri, 04 Dec 2026 21:00:00 GMT",
        "nan",
        "inf",
        "1e308",
        "9" * 400,
    ],
)
async def test_pause_that_is_not_plausible_is_ignored(world, text):
    async with world.running(names=("s1",)):
        world.servers["s1"].behave = servers.pausing(text)
        await world.get("/safe/")
        world.servers["s1"].behave = servers.answer
        await anyio.sleep(0.2)
        assert (await world.get("/safe/")).status_code == 200


# Headers of targets that are not read, and why.
_NOT_NEEDED = {
    "x-instance-id": "only health checks have it, and hosts make none",
    "x-warmup-ms": "only health checks have it; the registry says it too",
}
_HEADERS_OF_TARGETS = (
    "x-request-id",
    "x-upstream-signature",
    "x-not-executed",
    "x-instance-id",
    "x-warmup-ms",
    "server-limit",
    "server-leaving",
    "retry-after",
    "keep-alive",
    "content-encoding",
)


@pytest.mark.parametrize("header", _HEADERS_OF_TARGETS)
async def test_each_header_that_targets_send_is_read_or_not_needed(header):
    """A header that nothing compared with those read was ignored."""
    folder = pathlib.Path(pomeloward.__file__).parent
    sources = "".join(path.read_text() for path in folder.rglob("*.py"))
    is_read = f'b"{header}"' in sources or f'"{header}"' in sources
    assert is_read != (header in _NOT_NEEDED)
