"""Tests of which connections get another request."""

import anyio
import httpx
import pytest

from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio

_FORMER = scriptedserver.answer("q1")
_DUE = scriptedserver.answer("q2", 500, reason=b"Internal Server Error")


@pytest.mark.parametrize("pause_s", [None, 0.01], ids=["behind", "idle"])
@pytest.mark.parametrize("cut", [1, 15, 40, len(_FORMER) - 1, len(_FORMER)])
async def test_connection_with_bytes_behind_an_answer_is_not_used_again(
    cut, pause_s
):
    """The next request got the status of the answer before."""
    script = [_FORMER + _FORMER[:cut]]
    if pause_s is not None:
        script = [_FORMER, pause_s, _FORMER[:cut]]
    server = scriptedserver.ScriptedServer(script, [_DUE])
    async with server.running():
        caller = scriptedserver.Caller(server)
        await caller.get("q1")
        await anyio.sleep(0.05)
        assert (await caller.get("q1"))[0] == 200
        assert server.connections == 2
        assert caller.strays[0].byte_count == cut


@pytest.mark.parametrize("cut", range(1, _FORMER.index(b"\r\n\r\n")))
async def test_head_of_two_answers_is_no_answer(cut):
    """Callers got a success where the target had answered 500."""
    server = scriptedserver.ScriptedServer([_FORMER[:cut] + _DUE])
    async with server.running():
        caller = scriptedserver.Caller(server)
        with pytest.raises(httpx.RemoteProtocolError):
            await caller.get("q2")


async def test_interim_head_of_two_answers_is_no_interim_answer():
    """An answer was skipped as a part of an interim one."""
    server = scriptedserver.ScriptedServer(
        [b"HTTP/1.1 100 Cont" + _DUE + b"HTTP/1.1 200 OK\r\n\r\n"]
    )
    async with server.running():
        caller = scriptedserver.Caller(server)
        with pytest.raises(httpx.RemoteProtocolError):
            await caller.get("q2")


async def test_answer_without_length_that_is_reset_is_not_whole():
    """Callers got a part of a body as the whole after a failed upload."""
    server = scriptedserver.ScriptedServer(
        [b"HTTP/1.1 200 OK\r\n\r\npart", 0.05], closes=True
    )

    async def endless_body():
        while True:
            yield b"x" * 65_536

    async with server.running():
        caller = scriptedserver.Caller(server)
        request = httpx.Request(
            "POST", f"http://127.0.0.1:{server.port}/", content=endless_body()
        )
        with anyio.fail_after(5), pytest.raises(httpx.HTTPError):
            response = await caller.transport.handle_async_request(request)
            await response.aread()


async def test_port_out_of_range_is_a_failed_connect():
    """An error of another type ended the request of pomeloward-host."""
    server = scriptedserver.ScriptedServer()
    server.port = 70_000
    caller = scriptedserver.Caller(server)
    with pytest.raises(httpx.ConnectError):
        await caller.get("q1")
