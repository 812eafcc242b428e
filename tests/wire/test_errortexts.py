"""Tests of what the errors of connections tell of answers."""

import httpx
import pytest

from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio

_DUE = scriptedserver.answer("q2", 500, reason=b"Internal Server Error")


async def _error_text(*script):
    server = scriptedserver.ScriptedServer(list(script), closes=True)
    async with server.running():
        caller = scriptedserver.Caller(server)
        with pytest.raises(httpx.RemoteProtocolError) as caught:
            await caller.get("q2")
    return str(caught.value)


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"HTTP/1." + _DUE, "illegal status line with HTTP/1.1 500"),
        (
            b"HTTP/1.1 200 OK\r\n" + _DUE,
            "illegal header line with HTTP/1.1 500",
        ),
        (b"HTTP/1.1 200 O" + _DUE, "the head has two status lines"),
        (b"secret\r\n\r\n", "illegal status line"),
        (b"it's secret\r\n\r\n", "illegal status line"),
        (b"HTTP/1.1 200 OK\r\nsecret\r\n\r\n", "illegal header line"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n",
            "illegal chunk header",
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n", None),
        (b"", "the connection was closed without an answer"),
    ],
)
async def test_error_quotes_nothing_of_an_answer_but_status_lines(data, text):
    """A broken answer may repeat what its caller sent."""
    found = await _error_text(data)
    assert "secret" not in found
    assert found == (text or "bad Content-Length")
