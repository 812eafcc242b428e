"""Tests of reading the store over slow, silent and endless responses."""

import contextlib

import anyio
import pytest

from pomeloward import model
from pomeloward import platform
from pomeloward import replica
from pomeloward import settings

pytestmark = pytest.mark.anyio

_BODY = b'{"current-rev": 7, "items": []}'


def _head(length, *headers):
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % length, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


@contextlib.asynccontextmanager
async def _store_that(serve):
    """Yield a client of a store that answers each call with ``serve``."""

    async def handle(stream):
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                while await stream.receive():
                    await serve(stream)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield platform.HttpStoreClient(settings.Endpoint("127.0.0.1", port))
        tasks.cancel_scope.cancel()


async def test_response_that_takes_long_but_never_stops_is_read():
    """A large value never arrived on a slow link: 0.7 s were for all of it."""

    async def serve(stream):
        await stream.send(_head(len(_BODY)))
        for start in range(0, len(_BODY), 8):
            await anyio.sleep(0.3)
            await stream.send(_BODY[start : start + 8])

    async with _store_that(serve) as client:
        result = await client.read_snapshot()
    assert result.revision == 7


@pytest.mark.parametrize("sent_bytes", [0, 5])
async def test_response_that_stops_on_the_way_is_given_up_soon(sent_bytes):
    async def serve(stream):
        await stream.send((_head(len(_BODY)) + _BODY)[:sent_bytes])
        await anyio.sleep_forever()

    async with _store_that(serve) as client:
        with anyio.fail_after(1.5):
            with pytest.raises(model.PlatformUnavailable):
                await client.read_snapshot()


async def test_response_without_end_is_given_up():
    async def serve(stream):
        await stream.send(_head(10**9))
        while True:
            await stream.send(b" " * 1_000_000)

    async with _store_that(serve) as client:
        with anyio.fail_after(8.0):
            with pytest.raises(model.PlatformUnavailable):
                await client.read_snapshot()


@pytest.mark.parametrize("era", [b"-1", b"9" * 30, b"9" * 5_000, b"x"])
async def test_era_out_of_range_is_not_believed(era):
    async def serve(stream):
        head = _head(len(_BODY), b"Store-Era: " + era)
        await stream.send(head + _BODY)

    async with _store_that(serve) as client:
        with pytest.raises(model.PlatformUnavailable):
            await client.read_snapshot()


async def test_second_response_of_the_store_is_not_read_as_the_next():
    """A part of one response changed the status and era of the next one."""
    counts = {}

    async def serve(stream):
        number = counts[stream] = counts.get(stream, 0) + 1
        era = b"Store-Era: %d" % number
        response = _head(len(_BODY), era) + _BODY
        await stream.send(
            response + response[:40] if number == 1 else response
        )

    async with _store_that(serve) as client:
        for _ in range(3):
            result = await client.read_snapshot()
            assert replica.era_of(result.revision) == 1
