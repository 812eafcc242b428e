"""Tests of replicating changes between hosts."""

import anyio
import trio
import trio.testing

from pomeloward import replica
from tests.replica import samples

_NEWER_HOST, _EQUAL_HOST = "10.0.0.1:80", "10.0.0.2:80"


class FakePeers:
    """Answers snapshot requests from one replica, and records all calls."""

    def __init__(self, snapshot_replica):
        self.asked_hosts = []
        self.told = []
        self._snapshot_replica = snapshot_replica

    def register_handler(self, message_type, handler):
        pass

    def notify(self, host, notice):
        self.told.append((host, notice))

    async def request(self, host, question, timeout_ms):
        self.asked_hosts.append(host)
        return replica.SnapshotResponse(
            changes=self._snapshot_replica.newest_changes()
        )


def _run(scenario):
    """Run a scenario beside the replicator of an empty replica.

    ``scenario`` is called with the replicator, the replica of a host with a
    newer configuration, the own replica and the fake peers.
    """

    async def main():
        newer_replica, own_replica = replica.Replica(), replica.Replica()
        newer_replica.merge([samples.make_policy_change(5, 6)])
        peers = FakePeers(newer_replica)
        replicator = replica.Replicator(
            own_replica, peers, lambda: [_EQUAL_HOST], lambda changes: None
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replicator.run)
            await scenario(replicator, newer_replica, own_replica, peers)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_host_that_differs_is_asked_although_another_one_agrees():
    """Two frozen hosts that agreed kept each other on an old version.

    In a fault injection run of the Kunene site, freeze-and-clock with seed
    755491309104, a host handled requests by version 4 of the configuration
    when version 6 was 4.4 s old.
    """

    async def scenario(replicator, newer_replica, own_replica, peers):
        for _ in range(6):
            now_ms = anyio.current_time() * 1_000
            replicator.is_in_sync_with(
                _NEWER_HOST, newer_replica.digest, now_ms
            )
            replicator.is_in_sync_with(_EQUAL_HOST, own_replica.digest, now_ms)
            await anyio.sleep(0.2)
        assert peers.asked_hosts[0] == _NEWER_HOST
        assert own_replica.policy.version == 6

    _run(scenario)


def test_no_host_is_asked_after_a_short_difference():
    async def scenario(replicator, newer_replica, own_replica, peers):
        now_ms = anyio.current_time() * 1_000
        assert not replicator.is_in_sync_with(
            _NEWER_HOST, newer_replica.digest, now_ms
        )
        assert replicator.is_in_sync_with(
            _NEWER_HOST, own_replica.digest, now_ms + 100
        )
        assert not replicator.is_in_sync_with(
            _NEWER_HOST, newer_replica.digest, now_ms + 350
        )
        await anyio.sleep(0.1)
        assert not peers.asked_hosts

    _run(scenario)


def test_new_changes_are_forwarded_once_and_not_to_their_sender():
    async def scenario(replicator, newer_replica, own_replica, peers):
        replicator.merge_and_forward(
            newer_replica.newest_changes(), sender=_NEWER_HOST
        )
        replicator.merge_and_forward(
            newer_replica.newest_changes(), sender=_NEWER_HOST
        )
        assert [host for host, _ in peers.told] == [_EQUAL_HOST]
        replicator.merge_and_forward(
            [samples.make_policy_change(9, 8)], sender=_EQUAL_HOST
        )
        assert len(peers.told) == 1

    _run(scenario)
