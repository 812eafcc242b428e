"""Tests of the report of bytes that belong to no request."""

import anyio
import pytest

from pomeloward import wire
from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio


async def test_bytes_behind_an_answer_are_reported():
    """Guards against wrong answers whose cause no line tells."""
    second = scriptedserver.answer("q1", 500)
    server = scriptedserver.ScriptedServer(
        [scriptedserver.answer("q1") + second]
    )
    async with server.running():
        caller = scriptedserver.Caller(server)
        await caller.get("q1")
    (stray,) = caller.strays
    assert stray.place is wire.Place.BEHIND_ANSWER
    assert stray.byte_count == len(second)
    assert stray.status == 500
    assert stray.find_header(b"x-request-id") == b"q1"
    assert stray.use == caller.uses[0]
    assert stray.use.request_number == 1


async def test_bytes_on_an_idle_connection_are_reported():
    """Guards against wrong answers whose cause no line tells."""
    server = scriptedserver.ScriptedServer(
        [scriptedserver.answer("q1"), 0.02, b"junk"]
    )
    async with server.running():
        caller = scriptedserver.Caller(server)
        await caller.get("q1")
        await anyio.sleep(0.05)
        await caller.transport.aclose()
    (stray,) = caller.strays
    assert stray.place is wire.Place.IDLE
    assert stray.start == b"junk"
    assert stray.status == 0
    assert stray.find_header(b"x-request-id") is None


@pytest.mark.parametrize("cut", range(len(b"HTTP/1.1 200 OK\r\nA: 1\r\n")))
def test_header_that_is_not_whole_has_no_value(cut):
    """Guards against a cut id in the log that names another request."""
    head = b"HTTP/1.1 200 OK\r\nA: 1\r\n"[:cut]
    use = wire.ConnectionUse(1, 1)
    stray = wire.StrayBytes(use, wire.Place.IDLE, len(head), head)
    assert stray.find_header(b"a") is None


async def test_uses_of_a_connection_are_numbered():
    """Guards against attempts that can't be told apart in the log."""
    server = scriptedserver.ScriptedServer(
        [scriptedserver.answer("q1")], [scriptedserver.answer("q2")]
    )
    async with server.running():
        caller = scriptedserver.Caller(server)
        await caller.get("q1")
        await caller.get("q2")
    first, second = caller.uses
    assert first.local_port == second.local_port
    assert (first.request_number, second.request_number) == (1, 2)
