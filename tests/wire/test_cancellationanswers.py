"""Tests of answers to a former question in front of the one that is due."""

import ssl

import pytest

from pomeloward import model
from pomeloward import wire
from pomeloward.dispatch import cancellation
from pomeloward.dispatch import link as links
from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio

_NOT_RUN = b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"run":"not_run"}'
_RUNNING = b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"run":"running"}'


async def test_proof_for_one_request_is_none_for_the_next():
    """An order that a target ran was taken for one that has not run."""
    server = scriptedserver.ScriptedServer([_NOT_RUN, 0.01, _NOT_RUN])
    async with server.running():
        transport = wire.Transport(
            4,
            wire.ConnectionSettings(
                "127.0.0.1",
                ssl.create_default_context(),
                30.0,
                lambda stray: None,
            ),
        )
        link = links.Link(
            f"http://127.0.0.1:{server.port}/", transport, 0.0, 30_000.0
        )
        first = await cancellation.cancel(link, model.RequestId("q1"))
        assert first is not None
        server.scripts = [[_RUNNING]]
        assert await cancellation.cancel(link, model.RequestId("q2")) is None
    assert server.connections == 2
