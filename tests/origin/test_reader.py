"""Tests of reading the platform over HTTP into a sink."""

import random

import anyio
import httpx
import pytest
import trio
import trio.testing

from pomeloward import catalog
from pomeloward import model
from pomeloward import origin
from pomeloward.catalog import change
from tests.catalog import samples
from tests.origin import fakes


class Sink:
    """Accepts what a configuration accepts."""

    def __init__(self):
        self.view = catalog.Configuration.empty()
        self.rejected = []

    def accepted_version(self):
        return self.view.version

    def on_published_change(self, payload, now_ms):
        try:
            self.view = self.view.applied(change.decode_change(payload))
        except model.ConfigurationError as error:
            self.rejected.append(str(error))

    async def on_published_snapshot(self, version, shards):
        found = catalog.decode_shards(shards)
        self.view = catalog.Configuration.of_records(version, found)


class NoPeers:
    def register_handler(self, message_type, handler):
        pass

    async def request(self, host, question, timeout_ms):
        raise model.PeerUnavailable(host)


def _run(script, spread_ms=0.0):
    """Run ``script(memory, sink)`` beside a reader on a paused clock."""
    memory, sink = fakes.MemoryPlatform(), Sink()

    async def main():
        choice = origin.ReaderChoice("h1", random.Random(1), 0.0)
        choice.on_hosts("south", {"h1": "opuwo"}, 0.0)
        budget = origin.ReadBudget(random.Random(1), 0.0, spread_ms)
        async with memory.client() as client, anyio.create_task_group() as g:
            source = origin.HttpPlatform(client, "http://platform")
            reader = origin.Reader(source, choice, budget, sink, NoPeers())
            g.start_soon(reader.run)
            await script(memory, sink)
            g.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    return memory, sink


def test_snapshot_then_changes_in_order():
    """Guards against a reader that skips or reorders changes."""

    async def script(memory, sink):
        memory.publish_snapshot(samples.configuration(4))
        await anyio.sleep(2)
        assert sink.view.version == 4
        for version in (5, 6, 7):
            team = catalog.Team("crew", float(version), 20.0)
            memory.publish(samples.change(version - 1, [team]))
        await anyio.sleep(2)

    _, sink = _run(script)
    assert sink.view.version == 7
    assert sink.view.team("crew").rate_per_s == 7.0
    assert sink.rejected == []


def test_rejected_change_uses_up_its_version():
    """Guards against one bad change that blocks every later one."""

    async def script(memory, sink):
        memory.publish_snapshot(samples.configuration(4))
        await anyio.sleep(2)
        bad = catalog.Team("crew", -1.0, 20.0)
        memory.publish(samples.change(4, [bad]))
        good = catalog.Team("crew", 9.0, 20.0)
        memory.publish(samples.change(4, [good], version=6))
        await anyio.sleep(2)

    _, sink = _run(script)
    assert sink.view.version == 6
    assert len(sink.rejected) == 1


def test_change_that_appears_late_is_read():
    """Guards against waiting forever for a value that lagged the head."""

    async def script(memory, sink):
        memory.publish_snapshot(samples.configuration(4))
        await anyio.sleep(5)
        memory.publish_head(origin.Head(5, 4, 1))
        await anyio.sleep(5)
        assert sink.view.version == 4
        memory.put(
            origin.change_name(5), change.encode_change(samples.change(4))
        )
        await anyio.sleep(5)

    _, sink = _run(script)
    assert sink.view.version == 5


def test_reads_stay_bounded_while_the_platform_is_away():
    """Guards against readers that storm a platform that is down."""

    async def script(memory, sink):
        memory.is_away = True
        await anyio.sleep(600)
        # One attempt for each 5 to 10 s, and the first few more often.
        assert memory.attempts < 150
        memory.is_away = False
        memory.publish_snapshot(samples.configuration(4))
        await anyio.sleep(12)

    _, sink = _run(script)
    assert sink.view.version == 4


def test_host_with_peers_does_not_read_at_once():
    """Guards against 640 hosts that read every shard when they start."""

    async def script(memory, sink):
        memory.publish_snapshot(samples.configuration(4))
        # The seed's part of the spread is 1.3 s.
        await anyio.sleep(1.0)
        assert memory.attempts == 0
        await anyio.sleep(9.5)

    _, sink = _run(script, origin.BOOTSTRAP_SPREAD_MS)
    assert sink.view.version == 4


def test_steady_reads_are_few():
    """Guards against readers that use up the platform's 2,000 reads/s.

    Nine readers may take a two-hundredth of it: 1 read/s each.
    """

    async def script(memory, sink):
        memory.publish_snapshot(samples.configuration(1))
        # 125 changes an hour are the 3,000 a day of the planned size.
        for version in range(1, 126):
            await anyio.sleep(28.8)
            memory.publish(samples.change(version))
        await anyio.sleep(5)

    memory, sink = _run(script)
    assert sink.view.version == 126
    assert memory.attempts < 3_600


def test_rebuilt_platform_is_followed():
    """Guards against a watch above a number of writes that never comes."""

    async def script(memory, sink):
        for _ in range(5):
            memory.publish_head(origin.Head(0))
        memory.publish_snapshot(samples.configuration(4))
        await anyio.sleep(5)
        memory.values.clear()
        memory.publish_snapshot(samples.configuration(4))
        memory.publish(samples.change(4))
        await anyio.sleep(25)

    _, sink = _run(script)
    assert sink.view.version == 5


def test_published_configuration_is_read_once():
    """Guards against a plan made against another configuration."""
    memory = fakes.MemoryPlatform()
    memory.publish_snapshot(samples.configuration(4))
    team = catalog.Team("crew", 9.0, 20.0)
    memory.publish(samples.change(4, [catalog.Team("crew", -1.0, 1.0)]))
    memory.publish(samples.change(4, [team], version=6))

    async def main():
        async with memory.client() as client:
            source = origin.HttpPlatform(client, "http://platform")
            return await catalog.read_published(source)

    view = anyio.run(main)
    assert (view.version, view.team("crew")) == (6, team)


@pytest.mark.parametrize(
    "answer",
    [
        {"status_code": 500},
        {"status_code": 200, "content": b"x" * 1_000_001},
        {"status_code": 200, "headers": {"Value-Version": "x"}},
    ],
)
def test_bad_answer_counts_as_unavailable(answer):
    """Guards against a reader that ends, or keeps an oversized value."""
    transport = httpx.MockTransport(lambda _: httpx.Response(**answer))

    async def main():
        async with httpx.AsyncClient(transport=transport) as client:
            source = origin.HttpPlatform(client, "http://platform")
            with pytest.raises(model.PlatformUnavailable):
                await source.read("head")
            with pytest.raises(model.PlatformUnavailable):
                await source.hosts()

    anyio.run(main)


@pytest.mark.parametrize("payload", [b"", b"{", b'{"version": "x"}', b"\xff"])
def test_malformed_head_is_survived(payload):
    """Guards against a reader that ends on a malformed value."""

    async def script(memory, sink):
        memory.put(origin.HEAD_NAME, payload)
        await anyio.sleep(1)
        memory.publish_snapshot(samples.configuration(4))
        await anyio.sleep(30)

    _, sink = _run(script)
    assert sink.view.version == 4
