"""Tests of taking tokens between hosts on a fake network."""

import contextlib
import random

import anyio
import pytest

from pomeloward import budget
from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from pomeloward.budget import messages
from tests import fakes
from tests.budget import owners

pytestmark = pytest.mark.anyio
_HOSTS = ["h1", "h2", "h3"]


@contextlib.asynccontextmanager
async def _fleet(team, delay_ms=(0.5, 0.5)):
    """Run three hosts; each owns one of the team's portions if it has 3."""
    view = owners.configuration(_HOSTS, [team])
    table = owners.Owners()
    async with anyio.create_task_group() as tasks:
        network = fakes.FakeNetwork(tasks, random.Random(1), delay_ms)
        clients = {}
        lenders = {}
        for host in _HOSTS:
            peers = network.peers(host)
            places = budget.Directory(
                host,
                lambda: view,
                table.of(host),
                ownership.portion_partition,
            )
            lenders[host] = budget.LenderShell(peers, table.of(host), places)
            clients[host] = budget.BudgetClient(
                host, peers, lenders[host], places, random.Random(host)
            )
            await tasks.start(clients[host].run)
        for number, host in enumerate(_HOSTS):
            table.table[f"south/{number}"] = (host, 1)
            # A long past acquisition: the buckets are full.
            lenders[host].on_acquired(f"south/{number}", 1, None, -1e9)
        yield network, clients, table
        tasks.cancel_scope.cancel()


async def _take(client, count):
    """Take tokens at the same time and return the refusals."""
    results = []

    async def take():
        results.append(await client.take("t"))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(take)
    return [result.error for result in results if result.is_error()]


async def test_a_host_finds_the_tokens_of_all_portions():
    """Guards against refusing while another portion has tokens."""
    async with _fleet(catalog.Team("t", 0.001, 30.0)) as (_, clients, _):
        assert await _take(clients["h1"], 30) == []
        refusals = await _take(clients["h1"], 1)
    assert refusals[0].kind is model.ErrorKind.RATE_EXCEEDED
    assert refusals[0].retry_after_ms > 0


async def test_a_burst_of_one_admits_one_request():
    """Guards against portions that are too small to hold a token."""
    async with _fleet(catalog.Team("t", 0.001, 1.0)) as (_, clients, _):
        assert await _take(clients["h2"], 1) == []
        refusals = await _take(clients["h3"], 1)
    assert refusals[0].kind is model.ErrorKind.RATE_EXCEEDED


async def test_an_unreachable_portion_is_not_called_empty():
    """Guards against blaming the team for a lost owner."""
    async with _fleet(catalog.Team("t", 0.001, 30.0)) as fleet:
        network, clients, _ = fleet
        network.stop("h2")
        assert await _take(clients["h1"], 20) == []
        refusals = await _take(clients["h1"], 1)
    assert refusals[0].kind is model.ErrorKind.BUDGET_UNAVAILABLE


async def test_a_cancelled_search_does_not_decide_for_others():
    """Guards against waiters that hang or are refused by a broken search."""
    team = catalog.Team("t", 0.001, 30.0)
    async with _fleet(team, delay_ms=(10.0, 10.0)) as (_, clients, _):
        async with anyio.create_task_group() as tasks:
            with anyio.CancelScope() as scope:
                tasks.start_soon(anyio.sleep, 0.005)

                async def cancel():
                    await anyio.sleep(0.004)
                    scope.cancel()

                tasks.start_soon(cancel)
                await clients["h1"].take("t")
                await clients["h1"].take("t")
        with anyio.fail_after(1.0):
            assert await _take(clients["h1"], 1) == []


async def test_a_steady_team_costs_few_messages():
    """Guards against one message for each request of a busy host."""
    async with _fleet(catalog.Team("t", 3_000.0, 3_000.0)) as fleet:
        network, clients, _ = fleet
        for _ in range(300):
            assert (await clients["h1"].take("t")).is_ok()
            await anyio.sleep(0.001)
        assert network.sent[peer.wire_tag(messages.TakeTokens)] < 60
