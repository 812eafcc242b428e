"""Tests that keys stay on the host and end open work when withdrawn."""

import base64
import json

import anyio
import eliot
import httpx
import pytest
import websockets
from websockets.asyncio import client
from websockets.asyncio import server

from pomeloward.entry import separation
from tests.entry import harness

pytestmark = pytest.mark.anyio

_CARRIERS = [
    {"headers": {"Authorization": f"Bearer {harness.KEY}"}},
    {"headers": {"X-Api-Key": harness.KEY}},
    {"params": {"key": harness.KEY, "page": "2"}},
    {"params": {"api_key": harness.KEY}},
    {"params": {"Access_Token": harness.KEY}},
    {"headers": {"Cookie": f"a=1; key={harness.KEY}; b=2"}},
    {"headers": {"Cookie": f"api_key={harness.KEY}"}},
    {
        "headers": {
            "X-Api-Key": harness.KEY,
            "X-Copy": f"see {harness.KEY}!",
            "Referer": f"http://a/?q={harness.KEY}",
            "Cookie": f"copy={harness.KEY}",
        },
        "params": {"copy": harness.KEY},
    },
]


@pytest.mark.parametrize("path", ["/read", "/open/read"])
async def test_key_reaches_no_target_and_no_record(tmp_path, path):
    """Guards against a key in a target's request or in any record."""
    messages = []
    records = []
    eliot.add_destinations(messages.append)
    try:
        async with (
            harness.running(tmp_path, harness.answer()) as (host, targets),
            httpx.AsyncClient() as caller,
        ):
            own = host.url + "/.pomeloward/"
            for carrier in _CARRIERS:
                response = await caller.get(host.url + path, **carrier)
                assert response.status_code == 200, carrier
                request_id = response.headers["pomeloward-request-id"]
                explained = await caller.get(f"{own}explain/{request_id}")
                assert "answered" in explained.text
                records.append(explained.text)
            for name in ("metrics", "status"):
                records.append((await caller.get(own + name)).text)
    finally:
        eliot.remove_destination(messages.append)
    assert len(targets[0].seen) == len(_CARRIERS)
    for seen in targets[0].seen:
        assert harness.KEY.encode() not in seen.head
    assert messages
    assert harness.KEY not in "".join(records) + json.dumps(messages)


def test_unrelated_values_are_kept():
    """Guards against a scrubber that drops what callers need."""
    headers = [(b"x-trace", b"abc"), (b"cookie", b"a=1; key=k; b=2")]
    separated = separation.separate(
        headers, b"page=2&key=k&sort=%61", lambda digest: False
    )
    assert separated.headers == [
        (b"x-trace", b"abc"),
        (b"cookie", b"a=1; b=2"),
    ]
    assert separated.query == b"page=2&sort=%61"


def test_encoded_key_name_is_recognized():
    """Guards against a key that hides behind percent-encoding."""
    separated = separation.separate(
        [], b"%6Bey=some-long-key&x=some%2Dlong-key", lambda digest: False
    )
    assert separated.query == b""
    assert len(separated.digests) == 1


async def test_withdrawn_key_ends_download_and_waiting_request(tmp_path):
    """Guards against open work that goes on under a withdrawn key."""

    async def respond(stream, seen):
        if b"/slow" in seen.head:
            await anyio.sleep_forever()
        await stream.send(b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\nab")
        await anyio.sleep_forever()

    headers = {"X-Api-Key": harness.KEY}
    async with (
        harness.running(tmp_path, respond, respond) as (host, targets),
        httpx.AsyncClient() as caller,
        anyio.create_task_group() as tasks,
    ):
        statuses = []

        async def wait_for_answer():
            slow = await caller.get(host.url + "/slow", headers=headers)
            statuses.append((slow.status_code, slow.json()["run"]))

        tasks.start_soon(wait_for_answer)
        async with caller.stream(
            "GET", host.url + "/read", headers=headers
        ) as download:
            for target in targets:
                await target.wait_seen(1)
            host.configure(harness.records(targets, keys=(harness.OTHER_KEY,)))
            with (
                anyio.fail_after(3),
                pytest.raises(httpx.RemoteProtocolError),
            ):
                await download.aread()
        again = await caller.get(host.url + "/read", headers=headers)
        assert again.status_code == 401
    assert statuses == [(401, "unknown")]


async def test_withdrawn_key_closes_websocket(tmp_path):
    """Guards against a websocket that outlives its key."""
    heads = []

    async def echo(connection):
        heads.append(str(connection.request.headers))
        async for message in connection:
            await connection.send(message)

    async with (
        harness.running(tmp_path, harness.answer()) as (host, targets),
        server.serve(echo, "127.0.0.1", 0) as upstream,
    ):
        targets[0].port = upstream.sockets[0].getsockname()[1]
        host.configure(harness.records(targets))
        async with client.connect(
            f"ws://127.0.0.1:{host.port}/read",
            additional_headers={"Authorization": f"Bearer {harness.KEY}"},
        ) as socket:
            await socket.send("text")
            assert await socket.recv() == "text"
            await socket.send(b"bytes")
            assert await socket.recv() == b"bytes"
            assert harness.KEY not in heads[0]
            host.configure(harness.records(targets, keys=(harness.OTHER_KEY,)))
            with (
                anyio.fail_after(3),
                pytest.raises(websockets.ConnectionClosed),
            ):
                await socket.recv()
            assert socket.close_code == 1008


@pytest.mark.parametrize("path", ["/read", "/open/read"])
async def test_key_as_subprotocol_reaches_no_target(tmp_path, path):
    """Guards against a key that a browser sends as a subprotocol."""
    heads = []

    async def note(connection):
        heads.append(str(connection.request.headers))

    async with (
        harness.running(tmp_path, harness.answer()) as (host, targets),
        server.serve(note, "127.0.0.1", 0) as upstream,
    ):
        targets[0].port = upstream.sockets[0].getsockname()[1]
        host.configure(harness.records(targets))
        async with client.connect(
            f"ws://127.0.0.1:{host.port}{path}",
            additional_headers={"X-Api-Key": harness.OTHER_KEY},
            subprotocols=["bearer", harness.KEY],
        ) as socket:
            await socket.wait_closed()
    assert heads
    assert harness.KEY not in heads[0]
    assert harness.OTHER_KEY not in heads[0]


def test_harness_keys_are_digests():
    """Guards against test records that hold a key itself."""
    listed = json.dumps(harness.records([]))
    assert harness.KEY not in listed
    assert base64.b64encode(harness.KEY.encode()).decode() not in listed
