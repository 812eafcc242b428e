"""Tests of the graceful stop."""

import anyio
import httpx
import pytest
from websockets.asyncio import client
from websockets.asyncio import server

from tests.entry import harness

pytestmark = pytest.mark.anyio

_HEADERS = {"X-Api-Key": harness.KEY}


async def test_stop_cuts_no_download_and_no_websocket(tmp_path):
    """Guards against a planned stop that ends open work."""
    goes_on = anyio.Event()

    async def respond(stream, seen):
        head = b"HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\nabc"
        await stream.send(head)
        await goes_on.wait()
        await stream.send(b"def")

    async def echo(connection):
        async for message in connection:
            await connection.send(message)

    async with (
        harness.running(tmp_path, respond, respond) as (host, targets),
        server.serve(echo, "127.0.0.1", 0) as upstream,
        httpx.AsyncClient() as caller,
    ):
        async with caller.stream(
            "GET", host.url + "/read", headers=_HEADERS
        ) as download:
            for target in targets:
                target.port = upstream.sockets[0].getsockname()[1]
            host.configure(harness.records(targets))
            socket = await client.connect(
                f"ws://127.0.0.1:{host.port}/read",
                additional_headers=_HEADERS,
            )
            host.gateway.stop()
            await anyio.sleep(0.5)
            assert not host.ended.is_set()
            await socket.send("still here")
            assert await socket.recv() == "still here"
            late = await caller.get(host.url + "/.pomeloward/ready")
            assert late.status_code == 503
            assert late.headers["connection"] == "close"
            goes_on.set()
            assert await download.aread() == b"abcdef"
            assert not host.ended.is_set()
            await socket.close()
        with anyio.fail_after(5):
            await host.ended.wait()


async def test_http2_caller_is_told_to_leave(tmp_path):
    """Guards against a drain that HTTP/2 callers never hear of."""
    async with (
        harness.running(tmp_path, harness.answer()) as (host, _),
        httpx.AsyncClient(http1=False, http2=True) as caller,
    ):
        first = await caller.get(host.url + "/read", headers=_HEADERS)
        assert first.status_code == 200
        host.gateway.stop()
        await anyio.sleep(0.01)
        during = await caller.get(host.url + "/read", headers=_HEADERS)
        assert during.status_code == 200
        with pytest.raises(httpx.HTTPError):
            for _ in range(100):
                await caller.get(host.url + "/read", headers=_HEADERS)
                await anyio.sleep(0.05)
