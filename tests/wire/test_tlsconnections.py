"""Tests of connections by TLS, which holds bytes that the socket lacks."""

import pathlib
import ssl

import anyio
from anyio.streams import tls
import httpx
import pytest

from pomeloward import wire
from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio

# A key and a certificate for 127.0.0.1, for these tests only.
_PEM = pathlib.Path(__file__).with_name("localhost.pem")


async def _request_twice(behind):
    """Return the bodies of two requests and the number of connections.

    The server writes ``behind`` as a TLS record of its own behind each
    answer.
    """
    server_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server_context.load_cert_chain(_PEM)
    connections = []

    async def serve(stream):
        connections.append(stream)
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                await stream.send(scriptedserver.answer("q"))
                if behind:
                    await stream.send(behind)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    transport = wire.Transport(
        4,
        wire.ConnectionSettings(
            "127.0.0.1",
            ssl.create_default_context(cafile=_PEM),
            30.0,
            lambda stray: None,
        ),
    )
    bodies = []
    async with anyio.create_task_group() as tasks:
        secure = tls.TLSListener(
            listener, server_context, standard_compatible=False
        )
        tasks.start_soon(secure.serve, serve)
        for _ in range(2):
            request = httpx.Request("GET", f"https://127.0.0.1:{port}/")
            response = await transport.handle_async_request(request)
            bodies.append(await response.aread())
            # The record behind the answer comes meanwhile.
            await anyio.sleep(0.02)
            await response.aclose()
        await transport.aclose()
        tasks.cancel_scope.cancel()
    await listener.aclose()
    return bodies, len(connections)


async def test_record_behind_an_answer_ends_its_connection():
    """The next request got the second answer to the one before."""
    bodies, connection_count = await _request_twice(
        scriptedserver.answer("q", 503, b"second")
    )
    assert bodies == [b"ok", b"ok"]
    assert connection_count == 2


async def test_connection_without_bytes_behind_an_answer_is_used_again():
    """Guards against a handshake for each request."""
    bodies, connection_count = await _request_twice(b"")
    assert bodies == [b"ok", b"ok"]
    assert connection_count == 1
