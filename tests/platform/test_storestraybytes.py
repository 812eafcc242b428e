"""Tests of bytes on the store's connection that belong to no request."""

import base64
import json

import anyio
import pytest

from pomeloward import replica
from pomeloward import settings
from pomeloward.platform import httpstoreclient

pytestmark = pytest.mark.anyio

_ENTRY = {
    "service": "a",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "max-concurrency": 3,
    "state": "ready",
    "warmup-left-s": 0,
    "sequence": 1,
    "born": 1,
}
_ITEM = {
    "key": "servers/s1",
    "value": base64.b64encode(json.dumps(_ENTRY).encode()).decode(),
    "revision": 7,
}


def _answer(**fields):
    body = json.dumps({"current-rev": 7, **fields}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


async def _serve_twice_once(stream):
    """Answer reads, and send the first answer of a connection twice."""
    is_first = True
    async with stream:
        while True:
            try:
                request = await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            if b"/kv-watch" in request:
                answer = _answer(events=[_ITEM])
            elif b"servers" in request:
                answer = _answer(items=[_ITEM])
            else:
                answer = _answer(items=[])
            await stream.send(answer * 2 if is_first else answer)
            is_first = False


async def test_second_answer_of_the_store_is_no_page_of_another_read():
    """All targets, and later changes, were missing without an error."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _serve_twice_once)
        client = httpstoreclient.HttpStoreClient(
            settings.Endpoint("127.0.0.1", port)
        )
        snapshot = await client.read_snapshot()
        changes = await client.read_changes_after(replica.make_revision(0, 6))
        tasks.cancel_scope.cancel()
    await listener.aclose()
    keys = [
        [change.key for change in read.changes] for read in (snapshot, changes)
    ]
    assert keys == [["target/s1"]] * 2
