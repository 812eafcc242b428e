"""Tests of several hosts in one loop, with the platform's stand-in."""

import base64
import contextlib
import hashlib

import anyio
import eliot
import httpx
import hypercorn.asyncio
import hypercorn.config
import msgspec
import pytest

from pomeloward import catalog
from pomeloward import gateway
from pomeloward import settings
from standins import platform
from tests.entry import harness

pytestmark = pytest.mark.anyio

_HOSTS = 4
_KEY = "a-key-of-the-only-team"


def _address(index):
    return f"127.0.30.{index + 1}"


def _records(ports):
    hosts = [
        {
            "type": "host",
            "id": f"h{index}",
            "zone": f"z{index % 2}",
            "region": "r",
            "address": _address(index),
            "caller_port": ports[0],
            "peer_port": ports[1],
        }
        for index in range(_HOSTS)
    ]
    digest = hashlib.sha256(_KEY.encode()).digest()
    return [
        {"type": "region", "id": "r", "partitions": 6},
        {"type": "zone", "id": "z0", "region": "r"},
        {"type": "zone", "id": "z1", "region": "r"},
        *hosts,
        {
            "type": "roster",
            "region": "r",
            "number": 1,
            "hosts": [host["id"] for host in hosts],
        },
        {"type": "team", "id": "t", "rate_per_s": 9, "burst_requests": 9},
        {
            "type": "key",
            "digest": base64.b64encode(digest).decode(),
            "team": "t",
        },
    ]


def _publish(source, name, value):
    version = source.values.get(name, (0, b""))[0] + 1
    source.values[name] = (version, msgspec.json.encode(value))
    source._notify()


@contextlib.asynccontextmanager
async def _fleet():
    ports = [harness.free_port(), harness.free_port()]
    platform_port = harness.free_port()
    source = platform.Platform()
    _publish(source, "snapshot/1/0", _records(ports))
    head = {"version": 1, "snapshot_version": 1, "shards": 1}
    _publish(source, "head", head)
    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{platform_port}"]
    config.errorlog = None
    config.graceful_timeout = 0.1
    stop_platform = anyio.Event()
    gateways = [
        gateway.Gateway(
            settings.parse_document(
                {
                    "host_id": f"h{index}",
                    "zone": f"z{index % 2}",
                    "region": "r",
                    "address": _address(index),
                    "caller_port": ports[0],
                    "peer_port": ports[1],
                    "platform_url": f"http://127.0.0.1:{platform_port}",
                    "fleet_secret": "a secret of the test fleet",
                    "drain": {"accept_ms": 200.0},
                    "logs": {"file": ""},
                }
            )
        )
        for index in range(_HOSTS)
    ]
    async with anyio.create_task_group() as tasks:

        async def serve_platform():
            await hypercorn.asyncio.serve(
                source.app, config, shutdown_trigger=stop_platform.wait
            )

        tasks.start_soon(serve_platform)
        async with anyio.create_task_group() as hosts:
            for each in gateways:
                hosts.start_soon(each.run)
            urls = [
                f"http://{_address(index)}:{ports[0]}/.pomeloward/"
                for index in range(_HOSTS)
            ]
            yield source, gateways, urls
            for each in gateways:
                each.stop()
        stop_platform.set()


async def _until(check, seconds):
    ends_s = anyio.current_time() + seconds
    for _ in range(1_000):
        if await check():
            return
        assert anyio.current_time() < ends_s
        await anyio.sleep(0.05)


async def test_change_reaches_every_host_and_a_stopped_one_is_not_named():
    """Guards against hosts that do not work together as a fleet."""
    headers = {"Authorization": f"Bearer {_KEY}"}
    async with (
        _fleet() as (source, gateways, urls),
        httpx.AsyncClient(timeout=2.0) as caller,
    ):

        async def status(url, name):
            try:
                return await caller.get(url + name, headers=headers)
            except httpx.HTTPError:
                return httpx.Response(599)

        async def all_answer(name, wanted):
            codes = [(await status(url, name)).status_code for url in urls]
            return codes == [wanted] * len(urls)

        await _until(lambda: all_answer("ready", 200), 15.0)
        assert await all_answer("addresses", 200)

        gateways[3].stop()
        gone = _address(3)

        async def is_not_named():
            answers = [await status(url, "addresses") for url in urls[:3]]
            return all(
                row["address"] != gone
                for answer in answers
                for row in answer.json()["addresses"]
            )

        await _until(is_not_named, 3.0)

        del urls[3]
        digest = hashlib.sha256(_KEY.encode()).digest()
        change = catalog.Change(
            1, 2, (), (catalog.Deletion(catalog.Kind.KEY, digest.hex()),)
        )
        _publish(source, "change/2", change)
        head = {"version": 2, "snapshot_version": 1, "shards": 1}
        _publish(source, "head", head)
        await _until(lambda: all_answer("addresses", 401), 3.0)


async def test_planned_stop_is_not_logged_as_a_failure_by_peers():
    lines = []
    eliot.add_destinations(lines.append)
    try:
        async with (
            _fleet() as (_, gateways, urls),
            httpx.AsyncClient(timeout=2.0) as caller,
        ):

            async def all_are_ready():
                for url in urls:
                    try:
                        response = await caller.get(url + "ready")
                    except httpx.HTTPError:
                        return False
                    if response.status_code != 200:
                        return False
                return True

            await _until(all_are_ready, 15.0)
            assert not any(line.get("is_stop") for line in lines)
            gateways[3].stop()

            async def both_ends_are_logged():
                stops = [line for line in lines if line.get("is_stop")]
                return {
                    line["message_type"]
                    for line in stops
                    if line["peer"] == "h3"
                } == {"peer:closed", "peer:disconnected"}

            await _until(both_ends_are_logged, 8.0)
            assert not [
                line
                for line in lines
                if line.get("peer") == "h3" and "1011" in line["reason"]
            ]
    finally:
        eliot.remove_destination(lines.append)
