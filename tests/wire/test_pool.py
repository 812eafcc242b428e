"""Tests of the pool of connections."""

import functools

import anyio
import anyio.lowlevel
import pytest

from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio


async def test_connection_for_a_cancelled_request_is_not_lost():
    """Guards against pools whose connections are all held by no request."""
    hanging = scriptedserver.ScriptedServer([60.0])
    async with hanging.running():
        caller = scriptedserver.Caller(hanging, max_connections=1)
        first, second = anyio.CancelScope(), anyio.CancelScope()

        async def get(scope):
            with scope:
                await caller.get("q1")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(get, first)
            await anyio.sleep(0.02)
            tasks.start_soon(get, second)
            await anyio.sleep(0.02)
            # The first request closes its connection two steps later, and
            # the pool then makes one for the second, which is cancelled.
            first.cancel()
            await anyio.lowlevel.checkpoint()
            second.cancel()
        hanging.scripts = [[scriptedserver.answer("q2")]]
        status, _, _ = await caller.get("q2", timeout={"pool": 0.25})
    assert status == 200


async def test_pool_serves_after_requests_were_cancelled_at_any_time():
    """Guards against pools whose connections are all held by no request."""
    server = scriptedserver.ScriptedServer(
        [0.02, scriptedserver.answer("q1")], [0.02, scriptedserver.answer("q")]
    )
    async with server.running():
        caller = scriptedserver.Caller(server, max_connections=4)

        async def get(delay_s):
            with anyio.move_on_after(delay_s):
                await caller.get("q1")

        for number in range(40):
            async with anyio.create_task_group() as tasks:
                for _ in range(12):
                    tasks.start_soon(get, 0.001 * (number % 20))
        server.scripts = [[0.3, scriptedserver.answer("q1")]]
        await anyio.sleep(0.05)
        with anyio.fail_after(2):
            async with anyio.create_task_group() as tasks:
                # A connection that is held by nobody would be missing here.
                for _ in range(4):
                    tasks.start_soon(
                        functools.partial(
                            caller.get, "q1", timeout={"pool": 0.1}
                        )
                    )
