"""Tests of reading the store, its outages and its return."""

import anyio
import pytest
import trio
import trio.testing

from pomeloward import model
from pomeloward import replica
from tests.replica import samples


class Store:
    """A store in memory that may be away or forget its history."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.is_away = False
        self.has_history = True

    def put(self, target):
        self.revision += 1
        change = replica.TargetChange(self.revision, target)
        self.items[change.key] = change
        self.events.append(change)

    def remove(self, name):
        self.revision += 1
        change = replica.TargetRemoval(self.revision, model.TargetId(name))
        self.items.pop(change.key)
        self.events.append(change)

    async def read_snapshot(self):
        self._check()
        return replica.ReadResult(
            self.revision, tuple(self.items.values()), is_snapshot=True
        )

    async def read_changes_after(self, revision):
        self._check()
        if not self.has_history:
            self.has_history = True
            raise replica.HistoryGone("gone")
        found = tuple(e for e in self.events if e.revision > revision)
        return replica.ReadResult(self.revision, found, is_snapshot=False)

    def _check(self):
        if self.is_away:
            raise model.PlatformUnavailable("away")


class Silent:
    """Peers that hear nothing."""

    def handle(self, message_type, handler):
        pass

    def tell(self, host, notice):
        pass


def _run(script):
    """Run ``script(store, names)`` beside a reader on a paused clock."""

    async def main():
        store, held = Store(), replica.Replica()
        feed = replica.Replicator(held, Silent(), tuple, lambda news: None)
        turn = replica.ReadSchedule(anyio.current_time() * 1_000)
        reader = replica.StorePoller(
            store, held, feed, turn, lambda now_ms: (0, True)
        )

        def names():
            return sorted(one.id for one in held.targets())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reader.run)
            await script(store, names)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_change_is_taken_within_a_second():
    async def script(store, names):
        store.put(samples.target("t1"))
        await anyio.sleep(1.0)
        assert names() == ["t1"]
        store.remove("t1")
        await anyio.sleep(1.0)
        assert names() == []

    _run(script)


def test_lost_history_is_read_whole():
    async def script(store, names):
        store.put(samples.target("t1"))
        store.put(samples.target("t2"))
        await anyio.sleep(1.0)
        store.remove("t1")
        store.has_history = False
        await anyio.sleep(1.5)
        assert names() == ["t2"]

    _run(script)


@pytest.mark.parametrize("has_history", [True, False])
def test_entries_that_lapsed_in_an_outage_have_time_to_return(has_history):
    """Only what is still missing two seconds after the return is gone."""

    async def script(store, names):
        store.put(samples.target("t1"))
        store.put(samples.target("t2"))
        await anyio.sleep(1.0)
        store.is_away = True
        await anyio.sleep(5.0)
        store.remove("t1")
        store.remove("t2")
        store.has_history = has_history
        store.is_away = False
        await anyio.sleep(1.9)
        assert names() == ["t1", "t2"]
        store.put(samples.target("t2"))
        await anyio.sleep(2.5)
        assert names() == ["t2"]

    _run(script)
