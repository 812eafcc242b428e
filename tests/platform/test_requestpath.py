"""Tests of requests from a caller through a host to a target.

The servers of ``tests.platform.server`` stand in for targets.
The route ``/open/`` is public, and ``/none/`` has no route.
"""

import socket
import struct

import anyio
import anyio.abc
import pytest

from tests.platform import fleet
from tests.platform import server as servers

pytestmark = pytest.mark.anyio


async def _wait_until(condition):
    """Wait until a condition holds; raises TimeoutError after two seconds."""
    with anyio.fail_after(2):
        while True:
            if condition():
                return
            await anyio.sleep(0.01)


async def test_request_and_response_arrive_complete(world):
    async with world.running():
        response = await world.request("POST", "/order/x?q=1", content=b"body")
        assert response.status_code == 200
        request_id = response.headers["x-request-id"]
        assert response.text.endswith(f"ran {request_id}")
        assert response.headers["x-upstream-signature"] == "1.2.3"
        ((_, headers, body),) = world.seen()
        assert body == b"body"
        assert headers["x-tenant"] == "huka"
        assert headers["x-target-instance"] in world.servers
        assert 0 < int(headers["x-timeout-ms"]) <= 1_000
        assert "authorization" not in headers


async def test_caller_cannot_choose_team_or_target(world):
    async with world.running():
        response = await world.get(
            "/safe/", headers={"X-Tenant": "other", "X-Target-Instance": "x"}
        )
        assert response.status_code == 200
        ((_, headers, _),) = world.seen()
        assert headers["x-tenant"] == "huka"
        assert headers["x-target-instance"] in world.servers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/safe/", None, 401),
        ("/safe/", "unknown", 401),
        ("/none/", fleet.KEY, 404),
        ("/open/", None, 200),
    ],
)
async def test_status_depends_on_api_key_and_route(world, path, key, status):
    async with world.running():
        response = await world.get(path, key=key)
        assert response.status_code == status


async def test_chunked_request_body_reaches_the_target(world):
    async def body_chunks():
        yield b"one"
        yield b"two"

    async with world.running():
        response = await world.request(
            "POST", "/order/", content=body_chunks()
        )
        assert response.status_code == 200
        assert world.seen()[0][2] == b"onetwo"


async def test_request_ends_at_the_target_when_its_caller_disconnects(world):
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = servers.hang
        with anyio.move_on_after(0.15):
            await world.get("/safe/")
        await anyio.sleep(0.4)
        assert not server.open


async def test_oversized_and_malformed_request_heads_are_refused(world):
    async with world.running():
        oversized = await world.get(
            "/safe/", headers={"X-Large": "x" * 20_000}
        )
        assert oversized.status_code == 431
        assert (await world.get("/safe/")).status_code == 200
        async with await anyio.connect_tcp(
            world.addresses["n1"], world.ports["front"]
        ) as stream:
            await stream.send(
                b"POST /order/ HTTP/1.1\r\nHost: api.example\r\n"
                b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
            )
            assert b" 400 " in await stream.receive()
        assert len(world.ran()) == 1


async def test_refused_request_is_read_and_its_connection_kept(world):
    """A reset could lose the response, and new connections are costly."""
    async with world.running():
        for _ in range(3):
            refused = await world.request(
                "POST", "/none/", content=b"x" * 100_000
            )
            assert refused.status_code == 404
            assert refused.headers.get("connection") != "close"


async def test_chunked_body_over_the_size_limit_is_refused(world):
    async def body_chunks():
        for _ in range(40):
            yield b"x" * 10_000

    async with world.running():
        limits = {"max-header-bytes": 16_384, "max-body-bytes": 300_000}
        world.store.put("op/config", fleet.configuration(2, limits=limits))
        await anyio.sleep(1.5)
        response = await world.request(
            "POST", "/order/", content=body_chunks()
        )
        assert response.status_code == 413
        assert (await world.get("/safe/")).status_code == 200


async def test_slow_head_gets_408_and_idle_connection_is_closed(world):
    """Guards against callers that keep connections with incomplete heads."""
    limits = {"header-timeout-s": 0.2, "idle-timeout-s": 0.5}
    async with world.running():
        world.store.put("op/config", fleet.configuration(2, limits=limits))
        await anyio.sleep(1.8)
        ip_address, port = world.addresses["n1"], world.ports["front"]
        slow_caller = await anyio.connect_tcp(ip_address, port)
        idle_caller = await anyio.connect_tcp(ip_address, port)
        await slow_caller.send(b"GET /safe/ HTTP/1.1\r\nHost: a\r\n")
        with anyio.fail_after(1):
            response = await slow_caller.receive()
        assert response.startswith(b"HTTP/1.1 408 ")
        for stream in (slow_caller, idle_caller):
            with anyio.fail_after(1), pytest.raises(anyio.EndOfStream):
                await stream.receive()
            await stream.aclose()


async def test_connection_reset_by_the_caller_ends_its_request(world, caplog):
    """Guards against a reset that asyncio logs as an unhandled error."""
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = servers.hang
        stream = await anyio.connect_tcp(
            world.addresses["n1"], world.ports["front"]
        )
        head = f"GET /open/ HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
        await stream.send(f"{head}X-Request-Id: q\r\n\r\n".encode())
        await _wait_until(lambda: server.open)
        reset_on_close = struct.pack("ii", 1, 0)
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close
        )
        await stream.aclose()
        await _wait_until(lambda: not server.open)
        await anyio.sleep(0.1)
    assert not [
        record for record in caplog.records if record.name == "asyncio"
    ]
