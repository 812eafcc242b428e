"""Tests that callers get the last response of a connection that ends.

The callers here go on sending for a while, like those whose body is in chunks
and on its way.
"""

import anyio
import pytest

from tests.platform import fleet

pytestmark = pytest.mark.anyio

_CHUNK = b"%x\r\n" % 16_384 + bytes(16_384) + b"\r\n"


async def _send_and_read_late(world, head, chunk_count, pause_s=0.005):
    """Send a request to its end, and read the response only then."""
    host, _, port = world.url("n1", "front")[len("http://") :].partition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(head)
        for _ in range(chunk_count):
            await stream.send(_CHUNK)
            await anyio.sleep(pause_s)
        await stream.send(b"0\r\n\r\n")
        await anyio.sleep(0.1)
        received = b""
        with anyio.move_on_after(3.0):
            while chunk := await _receive(stream):
                received += chunk
    return received


async def _receive(stream):
    try:
        return await stream.receive()
    except anyio.EndOfStream:
        return b""


def _head(key, path="/safe/x", framing="Transfer-Encoding: chunked"):
    return (
        f"PUT {path} HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
        "X-Request-Id: q1\r\nX-Timeout-Ms: 3000\r\n"
        f"Authorization: Token {key}\r\n{framing}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("chunk_count", [10, 60, 150])
async def test_refusal_reaches_a_caller_whose_body_is_still_coming(
    world, chunk_count
):
    """The close reset the connection, and the refusal was lost with it."""
    async with world.running():
        received = await _send_and_read_late(
            world, _head("unknown"), chunk_count
        )
        assert received.startswith(b"HTTP/1.1 401")
        assert b"key_unknown" in received


async def test_refusal_of_a_malformed_head_reaches_its_caller(world):
    async with world.running():
        received = await _send_and_read_late(
            world, b"PUT / HTTP/1.1\r\nbad header\r\n\r\n", 20
        )
        assert received.startswith(b"HTTP/1.1 400")


async def test_connection_of_a_caller_that_never_ends_it_is_closed(world):
    async with world.running():
        host, _, port = world.url("n1", "front")[7:].partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(_head("unknown", framing="Connection: close"))
            with anyio.fail_after(2.5):
                while await _receive(stream):
                    pass
                # Past the end of the responses, the host stops reading too.
                with pytest.raises(anyio.BrokenResourceError):
                    while True:
                        await stream.send(_CHUNK)
                        await anyio.sleep(0.05)
