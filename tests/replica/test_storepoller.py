"""Tests of polling the store, of its outages and their end."""

import anyio
import pytest
import trio
import trio.testing

from pomeloward import model
from pomeloward import replica
from tests.replica import samples


class FakeStoreClient:
    """A store in memory that may be unavailable or lose its history."""

    def __init__(self):
        self.revision = 1
        self.entries = {}
        self.history = []
        self.is_unavailable = False
        self.has_history = True

    def put(self, target):
        self.revision += 1
        change = replica.TargetChange(self.revision, target)
        self.entries[change.key] = change
        self.history.append(change)

    def remove(self, target_id):
        self.revision += 1
        change = replica.TargetRemoval(
            self.revision, model.TargetId(target_id)
        )
        self.entries.pop(change.key)
        self.history.append(change)

    async def read_snapshot(self):
        self._raise_if_unavailable()
        return replica.ReadResult(
            self.revision, tuple(self.entries.values()), is_snapshot=True
        )

    async def read_changes_after(self, revision):
        self._raise_if_unavailable()
        if not self.has_history:
            self.has_history = True
            raise replica.HistoryGone("history was removed")
        found = tuple(
            change for change in self.history if change.revision > revision
        )
        return replica.ReadResult(self.revision, found, is_snapshot=False)

    def _raise_if_unavailable(self):
        if self.is_unavailable:
            raise model.PlatformUnavailable("store is unavailable")


class SilentPeers:
    """Peers that neither send nor receive anything."""

    def register_handler(self, message_type, handler):
        pass

    def notify(self, host, notice):
        pass


def run_scenario(store, scenario):
    """Run a scenario beside a poller, on a clock that skips waits.

    ``scenario`` is called with the store client and the replica.
    """

    async def main():
        own_replica = replica.Replica()
        replicator = replica.Replicator(
            own_replica, SilentPeers(), tuple, lambda changes: None
        )
        schedule = replica.ReadSchedule(anyio.current_time() * 1_000)
        poller = replica.StorePoller(
            store,
            own_replica,
            replicator,
            schedule,
            lambda now_ms: (0, True),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poller.run)
            await scenario(store, own_replica)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _run(scenario):
    """Run a scenario with a fake store.

    It is called with the store and a function that returns the sorted ids
    of the targets in the replica.
    """

    async def run_with_ids(store, own_replica):
        def target_ids():
            return sorted(target.id for target in own_replica.targets())

        await scenario(store, target_ids)

    run_scenario(FakeStoreClient(), run_with_ids)


def test_change_is_merged_within_a_second():
    async def scenario(store, target_ids):
        store.put(samples.make_target("t1"))
        await anyio.sleep(1.0)
        assert target_ids() == ["t1"]
        store.remove("t1")
        await anyio.sleep(1.0)
        assert target_ids() == []

    _run(scenario)


def test_snapshot_is_read_when_history_is_gone():
    async def scenario(store, target_ids):
        store.put(samples.make_target("t1"))
        store.put(samples.make_target("t2"))
        await anyio.sleep(1.0)
        store.remove("t1")
        store.has_history = False
        await anyio.sleep(1.5)
        assert target_ids() == ["t2"]

    _run(scenario)


@pytest.mark.parametrize("has_history", [True, False])
def test_targets_that_expired_in_an_outage_can_register_again(has_history):
    """Only targets still missing two seconds after an outage are removed.

    Entries of living targets expire during an outage of the store, which
    loses their heartbeats.
    """

    async def scenario(store, target_ids):
        store.put(samples.make_target("t1"))
        store.put(samples.make_target("t2"))
        await anyio.sleep(1.0)
        store.is_unavailable = True
        await anyio.sleep(5.0)
        store.remove("t1")
        store.remove("t2")
        store.has_history = has_history
        store.is_unavailable = False
        await anyio.sleep(1.9)
        assert target_ids() == ["t1", "t2"]
        store.put(samples.make_target("t2"))
        await anyio.sleep(2.5)
        assert target_ids() == ["t2"]

    _run(scenario)
