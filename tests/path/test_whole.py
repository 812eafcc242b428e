"""Tests of the whole path: callers, entry hosts and targets as processes."""

import asyncio
import signal

import pytest

from bench import deployment
from bench import fleet
from bench import load


@pytest.fixture
def sole_fleet(tmp_path):
    """Two hosts with a fixed configuration, before Bertoldi's targets."""
    running = fleet.Fleet(
        deployment.BERTOLDI, 2, seed=1, folder=tmp_path, is_sole=True
    )
    try:
        running.start()
        running.wait_ready(20.0)
        yield running
    finally:
        running.stop()


async def _send(running, seconds):
    traffic = load.Load(running.plan, running.urls(), 1, 0.2)
    async with asyncio.TaskGroup() as group:
        sending = group.create_task(traffic.run())
        await asyncio.sleep(seconds)
        traffic.stop()
        await sending
    return traffic


def test_callers_get_their_own_answers(sole_fleet):
    """Guards against a path that loses, mixes or doubles requests."""
    traffic = asyncio.run(_send(sole_fleet, 2.0))
    outcomes = traffic.outcomes()
    assert len(outcomes) > 20
    assert traffic.failures() == []
    assert all(found.is_own_answer for found in outcomes)
    seen = sole_fleet.seen().values()
    assert sum(found["key_leaks"] for found in seen) == 0
    orders = [runs for found in seen for runs in found["order_runs"].values()]
    assert orders
    assert set(orders) == {1}


def test_terminated_host_exits_cleanly(sole_fleet):
    """Guards against a planned stop that ends with an error."""
    sole_fleet.signal_host(0, signal.SIGTERM)
    assert sole_fleet.wait_host(0, 15.0) == 0
