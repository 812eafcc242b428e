"""Tests of callers' connections."""

import anyio
import httpx
import pytest

from tests.entry import harness

pytestmark = pytest.mark.anyio

_HEALTH = b"GET /.pomeloward/health HTTP/1.1\r\nHost: a\r\n\r\n"


async def _connections(host):
    """Return the host's count, which includes the asking connection."""
    answer = await harness.raw_request(
        host.port,
        _HEALTH.replace(b"health", b"metrics"),
        until=b"pomeloward_connections ",
    )
    tail = answer.partition(b"\npomeloward_connections ")[2]
    return int(float(tail.split()[0]))


async def test_connections_are_bounded(tmp_path):
    """Guards against callers that use up the host's sockets."""
    limits = {"connections": 3}
    async with harness.running(tmp_path, harness.answer(), limits=limits) as (
        host,
        _,
    ):
        held = [
            await anyio.connect_tcp("127.0.0.1", host.port) for _ in range(3)
        ]
        await anyio.sleep(0.05)
        refused = await harness.raw_request(host.port, _HEALTH)
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"pomeloward-run: not_run" in refused
        for stream in held:
            await stream.aclose()
        await anyio.sleep(0.05)
        served = await harness.raw_request(host.port, _HEALTH)
        assert served.startswith(b"HTTP/1.1 200")


async def test_closed_connection_is_let_go(tmp_path):
    """Guards against sockets kept until the idle time of a caller ends."""
    async with harness.running(tmp_path, harness.answer()) as (host, _):
        async with httpx.AsyncClient() as caller:
            for _ in range(5):
                await caller.get(host.url + "/.pomeloward/health")
        await anyio.sleep(0.05)
        assert await _connections(host) == 1


async def test_idle_connection_is_closed(tmp_path):
    """Guards against callers that open connections and send nothing."""
    limits = {"keep_alive_ms": 150.0}
    async with harness.running(tmp_path, harness.answer(), limits=limits) as (
        host,
        _,
    ):
        silent = await anyio.connect_tcp("127.0.0.1", host.port)
        slow = await anyio.connect_tcp("127.0.0.1", host.port)
        await slow.send(b"GET /read HTTP/1.1\r\nHost: a\r\n")
        with anyio.fail_after(2):
            answer = await slow.receive()
        assert answer.startswith(b"HTTP/1.1 408 ")
        assert b'"head_timeout"' in answer
        for stream in (silent, slow):
            with anyio.fail_after(2), pytest.raises(anyio.EndOfStream):
                await stream.receive()
            await stream.aclose()
