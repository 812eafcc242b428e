"""Tests of the reader against the stand-in of the platform."""

import random

import anyio
import httpx
import msgspec

from pomeloward import catalog
from pomeloward import model
from pomeloward import origin
from standins import platform as standin
from tests.catalog import samples


class _NoPeers:
    def register_handler(self, message_type, handler):
        pass

    def notify(self, host, notice):
        pass

    async def request(self, host, question, timeout_ms):
        raise model.PeerUnavailable(host)


async def _until(shell, version):
    with anyio.fail_after(10):
        for _ in range(1_000):
            if shell.accepted_version() == version:
                return
            await anyio.sleep(0.01)
    raise AssertionError(f"version {version} is not in force")


def test_changes_of_the_standin_come_into_force():
    """Guards against a reader and a stand-in of different interfaces.

    The platform goes stale and away in between; the version in force stays.
    """

    async def main():
        rng = random.Random(1)
        served = standin.Platform()
        transport = httpx.ASGITransport(served.app)
        shell = catalog.Catalog(
            catalog.Spreader("h1", ["h2"], rng), _NoPeers()
        )
        async with (
            httpx.AsyncClient(transport=transport) as client,
            anyio.create_task_group() as group,
        ):

            async def admin(path, payload):
                url = f"http://platform/admin/{path}"
                answer = await client.put(url, content=payload)
                answer.raise_for_status()

            async def publish(version):
                changed = samples.change(version - 1)
                name = f"values/{origin.change_name(version)}"
                await admin(name, catalog.encode_change(changed))
                head = origin.Head(version, 4, 1)
                await admin("values/head", msgspec.json.encode(head))

            await admin("hosts", b'[{"host": "h1", "state": "live"}]')
            shard = catalog.encode_shards(samples.configuration(4))[0]
            name = f"values/{origin.snapshot_name(4, 0)}"
            await admin(name, shard)
            await publish(5)
            choice = origin.ReaderChoice("h1", rng, 0.0)
            choice.on_hosts("south", {"h1": "opuwo"}, 0.0)
            now_ms = anyio.current_time() * 1000
            reader = origin.Reader(
                origin.HttpPlatform(client, "http://platform"),
                choice,
                origin.ReadBudget(rng, now_ms),
                shell,
                _NoPeers(),
            )
            group.start_soon(reader.run)
            await _until(shell, 5)
            assert [each.host for each in reader.host_list] == ["h1"]
            await admin("mode", b'{"mode": "stale"}')
            await publish(6)
            await anyio.sleep(0.2)
            assert shell.accepted_version() == 5
            await admin("mode", b'{"mode": "away"}')
            await admin("mode", b'{"mode": "ok"}')
            await _until(shell, 6)
            group.cancel_scope.cancel()

    anyio.run(main)
