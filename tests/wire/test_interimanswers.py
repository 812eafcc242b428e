"""Tests of interim answers in front of the final one."""

import anyio
import httpx
import pytest

from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio

_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


async def test_interim_answers_without_end_are_an_error():
    """They were read until the deadline, and kept the event loop busy."""
    script = [_INTERIM * 100] * 100
    server = scriptedserver.ScriptedServer(script)
    async with server.running():
        caller = scriptedserver.Caller(server)
        with anyio.fail_after(5), pytest.raises(httpx.RemoteProtocolError):
            await caller.get("q1")


async def test_final_answer_behind_interim_answers_is_found():
    server = scriptedserver.ScriptedServer(
        [_INTERIM * 100, scriptedserver.answer("q1")]
    )
    async with server.running():
        caller = scriptedserver.Caller(server)
        status, _, body = await caller.get("q1")
        assert (status, body) == (200, b"ok")
