"""Tests of the shell over peers in memory."""

import random

import anyio
import anyio.lowlevel

from pomeloward import catalog
from pomeloward import model
from pomeloward.catalog import change
from tests.catalog import samples


class Wire:
    """Delivers messages between shells in one process."""

    def __init__(self):
        self.handlers = {}

    def peers(self, own):
        return _Peers(self, own)


class _Peers:
    def __init__(self, wire, own):
        self.wire = wire
        self.own = own
        self.handlers = wire.handlers.setdefault(own, {})

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def notify(self, host, notice):
        self._deliver(host, notice)

    async def request(self, host, question, timeout_ms):
        await anyio.lowlevel.checkpoint()
        answer = self._deliver(host, question)
        if answer is None:
            raise model.PeerUnavailable(host)
        return answer

    def _deliver(self, host, message):
        handler = self.wire.handlers.get(host, {}).get(type(message))
        now_ms = anyio.current_time() * 1000
        return handler(self.own, message, now_ms) if handler else None


def test_host_starts_from_a_peer_and_follows_changes():
    """Guards against a host that cannot start while the platform is away."""
    seen = []

    async def main():
        wire = Wire()
        shells = {}
        for own, seed in (("h1", "h2"), ("h2", "h1")):
            decisions = catalog.Spreader(own, [seed], random.Random(1))
            shells[own] = catalog.Catalog(decisions, wire.peers(own))
        shells["h2"].subscribe(lambda view, now_ms: seen.append(view.version))
        async with anyio.create_task_group() as group:
            group.start_soon(shells["h1"].run)
            shards = catalog.encode_shards(samples.configuration(5))
            await shells["h1"].on_published_snapshot(5, shards)
            group.start_soon(shells["h2"].run)
            for _ in range(500):
                if not shells["h2"].decisions.is_ready:
                    await anyio.sleep(0.02)
            assert shells["h2"].decisions.is_ready
            payload = change.encode_change(samples.change(5))
            shells["h1"].on_published_change(payload, 0.0)
            group.cancel_scope.cancel()
        assert shells["h2"].accepted_version() == 6

    anyio.run(main)
    assert seen == [5, 6]


def test_older_snapshot_is_not_built_after_a_newer_one():
    """Guards against two builds at once, which would take 50 MB."""

    async def main():
        decisions = catalog.Spreader("h1", [], random.Random(1))
        shell = catalog.Catalog(decisions, Wire().peers("h1"))
        newer = catalog.encode_shards(samples.configuration(6))
        older = catalog.encode_shards(samples.configuration(5))
        async with anyio.create_task_group() as group:
            group.start_soon(shell.on_published_snapshot, 6, newer)
            group.start_soon(shell.on_published_snapshot, 5, older)
        assert shell.accepted_version() == 6
        assert newer == []
        assert len(older) == 1

    anyio.run(main)


def test_malformed_snapshot_is_reported():
    """Guards against a bad snapshot that ends the host."""

    async def main():
        decisions = catalog.Spreader("h1", [], random.Random(1))
        shell = catalog.Catalog(decisions, Wire().peers("h1"))
        await shell.on_published_snapshot(5, [b"[{}]"])
        assert "malformed snapshot" in decisions.rejection
        assert shell.accepted_version() == 0

    anyio.run(main)
