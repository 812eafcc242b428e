"""Tests of keeping the replicas of hosts the same."""

import anyio
import trio
import trio.testing

from pomeloward import replica
from tests.replica import samples

_NEWER, _EQUAL = "10.0.0.1:80", "10.0.0.2:80"


class Peers:
    """Answers questions with the state of a host that knows more."""

    def __init__(self, state):
        self.asked = []
        self.told = []
        self._state = state

    def handle(self, message_type, handler):
        pass

    def tell(self, host, notice):
        self.told.append((host, notice))

    async def ask(self, host, question, timeout_ms):
        self.asked.append(host)
        return replica.SnapshotResponse(changes=self._state.newest_changes())


def _run(script):
    async def main():
        newer, held = replica.Replica(), replica.Replica()
        newer.merge([samples.policy_change(5, 6)])
        peers = Peers(newer)
        feed = replica.Replicator(
            held, peers, lambda: [_EQUAL], lambda news: None
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run)
            await script(feed, newer, held, peers)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_host_that_differs_is_asked_beside_one_that_agrees():
    """Two frozen hosts that agreed kept each other on an old version.

    Hunt of Kunene's site, freeze-and-clock, seed 755491309104: a host
    handled requests by version 4 when version 6 was 4.4 s old.
    """

    async def script(feed, newer, held, peers):
        for _ in range(6):
            now_ms = anyio.current_time() * 1_000
            feed.is_in_sync_with(_NEWER, newer.digest, now_ms)
            feed.is_in_sync_with(_EQUAL, held.digest, now_ms)
            await anyio.sleep(0.2)
        assert peers.asked[0] == _NEWER
        assert held.policy.version == 6

    _run(script)


def test_short_difference_asks_nobody():
    async def script(feed, newer, held, peers):
        now_ms = anyio.current_time() * 1_000
        assert not feed.is_in_sync_with(_NEWER, newer.digest, now_ms)
        assert feed.is_in_sync_with(_NEWER, held.digest, now_ms + 100)
        assert not feed.is_in_sync_with(_NEWER, newer.digest, now_ms + 350)
        await anyio.sleep(0.1)
        assert not peers.asked

    _run(script)


def test_news_are_passed_on_but_not_back():
    async def script(feed, newer, held, peers):
        feed.merge_and_forward(newer.newest_changes(), sender=_NEWER)
        feed.merge_and_forward(newer.newest_changes(), sender=_NEWER)
        assert [host for host, _ in peers.told] == [_EQUAL]
        feed.merge_and_forward([samples.policy_change(9, 8)], sender=_EQUAL)
        assert len(peers.told) == 1

    _run(script)
