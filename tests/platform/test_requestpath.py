"""Tests of the whole path from a caller to a server and back."""

import socket
import struct

import anyio
import anyio.abc
import pytest

from tests.platform import fleet
from tests.platform import server as servers

pytestmark = pytest.mark.anyio


async def _until(check):
    """Wait until a condition holds, for two seconds at most."""
    with anyio.fail_after(2):
        while True:
            if check():
                return
            await anyio.sleep(0.01)


async def test_answer_reaches_its_caller_whole(world):
    async with world.running():
        answer = await world.request("POST", "/order/x?q=1", content=b"body")
        assert answer.status_code == 200
        request = answer.headers["x-request-id"]
        assert answer.text.endswith(f"ran {request}")
        assert answer.headers["x-upstream-signature"] == "1.2.3"
        ((_, headers, body),) = world.seen()
        assert body == b"body"
        assert headers["x-tenant"] == "huka"
        assert headers["x-target-instance"] in world.servers
        assert 0 < int(headers["x-timeout-ms"]) <= 1_000
        assert "authorization" not in headers


async def test_caller_cannot_choose_team_or_target(world):
    async with world.running():
        answer = await world.get(
            "/safe/", headers={"X-Tenant": "other", "X-Target-Instance": "x"}
        )
        assert answer.status_code == 200
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
async def test_key_and_route_decide(world, path, key, status):
    async with world.running():
        answer = await world.get(path, key=key)
        assert answer.status_code == status


async def test_chunked_body_arrives(world):
    async def parts():
        yield b"one"
        yield b"two"

    async with world.running():
        answer = await world.request("POST", "/order/", content=parts())
        assert answer.status_code == 200
        assert world.seen()[0][2] == b"onetwo"


async def test_request_ends_at_the_server_when_its_caller_leaves(world):
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = servers.hang
        with anyio.move_on_after(0.15):
            await world.get("/safe/")
        await anyio.sleep(0.4)
        assert not server.open


async def test_oversized_and_malformed_heads_are_refused(world):
    async with world.running():
        large = await world.get("/safe/", headers={"X-Large": "x" * 20_000})
        assert large.status_code == 431
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


async def test_refused_body_is_read_and_the_connection_kept(world):
    """A reset could hide the refusal, and each new connection is costly."""
    async with world.running():
        for _ in range(3):
            refused = await world.request(
                "POST", "/none/", content=b"x" * 100_000
            )
            assert refused.status_code == 404
            assert refused.headers.get("connection") != "close"


async def test_body_that_grows_over_the_limit_is_refused(world):
    async def parts():
        for _ in range(40):
            yield b"x" * 10_000

    async with world.running():
        limits = {"max-header-bytes": 16_384, "max-body-bytes": 300_000}
        world.store.put("op/config", fleet.configuration(2, limits=limits))
        await anyio.sleep(1.5)
        answer = await world.request("POST", "/order/", content=parts())
        assert answer.status_code == 413
        assert (await world.get("/safe/")).status_code == 200


async def test_caller_that_takes_too_long_is_told_and_closed(world):
    """Guards against callers that hold connections with half a head."""
    limits = {"header-timeout-s": 0.2, "idle-timeout-s": 0.5}
    async with world.running():
        world.store.put("op/config", fleet.configuration(2, limits=limits))
        await anyio.sleep(1.8)
        address, port = world.addresses["n1"], world.ports["front"]
        slow = await anyio.connect_tcp(address, port)
        idle = await anyio.connect_tcp(address, port)
        await slow.send(b"GET /safe/ HTTP/1.1\r\nHost: a\r\n")
        with anyio.fail_after(1):
            answer = await slow.receive()
        assert answer.startswith(b"HTTP/1.1 408 ")
        for stream in (slow, idle):
            with anyio.fail_after(1), pytest.raises(anyio.EndOfStream):
                await stream.receive()
            await stream.aclose()


async def test_caller_that_resets_its_connection_ends_its_request(
    world, caplog
):
    """The reset came out of the connection's task as an unhandled error."""
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        server.behave = servers.hang
        stream = await anyio.connect_tcp(
            world.addresses["n1"], world.ports["front"]
        )
        head = f"GET /open/ HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
        await stream.send(f"{head}X-Request-Id: q\r\n\r\n".encode())
        await _until(lambda: server.open)
        linger = struct.pack("ii", 1, 0)
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await stream.aclose()
        await _until(lambda: not server.open)
        await anyio.sleep(0.1)
    assert not [one for one in caplog.records if one.name == "asyncio"]
