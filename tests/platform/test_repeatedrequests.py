"""Tests of a request that comes to a host twice, like from another host."""

import anyio
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio


def _refuse_then_run():
    """Return a behavior that refuses a request, and runs its repeat.

    The refusal comes once more after the repeat has arrived.
    """
    refusals = {}

    async def behave(server, stream, request, headers):
        refusal = servers.head(request, 503, 0, ["X-Not-Executed: 1"])
        if request not in refusals:
            refusals[request] = id(stream)
            await stream.send(refusal)
            return
        server.ran.append(request)
        if refusals[request] == id(stream):
            await stream.send(refusal)
            await anyio.sleep(0.02)
        await servers.answer(server, stream, request, headers)

    return behave


async def test_refusal_that_comes_twice_is_none_of_the_repeat(world):
    """The caller was told that an order had not run that a target ran.

    A host gets a request twice where another one relays it in two rounds.
    """
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = _refuse_then_run()
        headers = {"X-Request-Id": "repeated"}
        statuses = []
        for _ in range(2):
            response = await world.request(
                "POST", "/order/", headers=headers, content=b"x"
            )
            statuses.append(response.status_code)
            await anyio.sleep(0.1)
        assert server.ran, statuses
        assert statuses[1] not in (408, 421, 429, 503), statuses
