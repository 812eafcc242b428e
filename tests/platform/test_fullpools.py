"""Tests of targets to which a host may open few connections."""

import anyio
import pytest

from pomeloward.edge import hostcomponents
from tests.platform import server as servers

pytestmark = pytest.mark.anyio


async def test_target_serves_after_callers_left_while_its_pool_was_full(
    world, monkeypatch
):
    """A host refused all requests to a sound target until its pool ended.

    The target takes more requests than its connections are.
    """
    entry = servers.Server.entry
    monkeypatch.setattr(
        servers.Server,
        "entry",
        lambda self, **fields: entry(
            self, **{"max-concurrency": 12, **fields}
        ),
    )
    monkeypatch.setattr(
        hostcomponents.HostComponents,
        "_max_connections_per_target",
        lambda self, service: 2,
    )

    async def answer_slowly(server, stream, request, headers):
        await anyio.sleep(0.05)
        await servers.answer(server, stream, request, headers)

    async def leave_after(delay_s):
        with anyio.move_on_after(delay_s):
            await world.get("/safe/")

    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = answer_slowly
        for _ in range(15):
            async with anyio.create_task_group() as tasks:
                for number in range(24):
                    tasks.start_soon(leave_after, 0.03 + 0.001 * (number % 2))
            await anyio.sleep(0.05)
        server.behave = servers.answer
        await anyio.sleep(1.0)
        statuses = [(await world.get("/safe/")).status_code for _ in range(5)]
        assert statuses == [200] * 5
