"""Tests of targets that stop in the middle of an answer's head."""

import anyio
import anyio.lowlevel
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_HEAD_BYTES = len(servers.head("q00000001", 200, 14))


def _cut_head(length):
    """Return a behavior that closes after so many bytes of the answer."""

    async def behave(server, stream, request, headers):
        server.ran.append(request)
        whole = servers.head(request, 200, 14) + b"the whole body"
        await stream.send(whole[:length])
        await stream.aclose()

    return behave


@pytest.mark.parametrize("with_length", [True, False])
async def test_answer_cut_within_its_head_is_never_a_success(
    world, with_length
):
    """Callers got a 200 with an empty or short body, framed as whole."""
    async with world.running(names=("s1", "s2")):
        for length in range(1, _HEAD_BYTES):
            behavior = _cut_head(length)
            if not with_length:
                behavior = _cut_head_without_length(length)
            for server in world.servers.values():
                server.behave = behavior
            response = await world.request("POST", "/order/", content=b"x")
            assert response.status_code in (502, 503), length
            for server in world.servers.values():
                server.behave = servers.answer
            await world.get("/safe/")
            await world.get("/safe/")


def _cut_head_without_length(length):
    async def behave(server, stream, request, headers):
        server.ran.append(request)
        whole = servers.head(request, 200)
        await stream.send(whole[: min(length, len(whole) - 1)])
        await anyio.lowlevel.checkpoint()
        await stream.aclose()

    return behave
