"""Tests of requests with an id that their connection has carried before."""

import pytest

from pomeloward import wire
from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio


async def test_connection_carries_no_id_twice():
    """A second answer to the first request was that to the second."""
    server = scriptedserver.ScriptedServer(
        [scriptedserver.answer("q1")],
        [scriptedserver.answer("q2")],
        [scriptedserver.answer("q1", body=b"second answer to the first")],
    )
    async with server.running():
        caller = scriptedserver.Caller(server)
        for request_id in ("q1", "q2", "q1"):
            identity = wire.RequestIdentity(
                b"x-request-id", request_id.encode()
            )
            _, _, body = await caller.get(
                request_id, **{wire.IDENTITY_EXTENSION: identity}
            )
            assert body == b"ok"
    ports = [use.local_port for use in caller.uses]
    assert ports[0] == ports[1] != ports[2]


async def test_connection_is_replaced_after_many_requests():
    """Guards against ids of former requests that fill the memory."""
    server = scriptedserver.ScriptedServer(
        *([scriptedserver.answer(f"q{number}")] for number in range(257))
    )
    async with server.running():
        caller = scriptedserver.Caller(server)
        for number in range(257):
            await caller.get(f"q{number}")
    assert server.connections == 2
    assert caller.uses[255].request_number == 256
