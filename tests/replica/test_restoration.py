"""Tests of a store that comes back from an older copy of itself."""

import anyio
from hypothesis import given
from hypothesis import strategies as st
import pytest

from pomeloward import model
from pomeloward import replica
from tests.replica import samples
from tests.replica import test_storepoller

_ZONE = model.ZoneId("a")


class RestorableStore:
    """A store of targets and zones that can go back to a copy of itself.

    ``changes`` has every change as any host could have read it: as events,
    and the copied entries of each restored store.
    """

    def __init__(self):
        self.era = 1
        self.number = 0
        self.entries = {}
        self.changes = []
        self._copy = (0, {})

    def _next_revision(self):
        self.number += 1
        return replica.make_revision(self.era, self.number)

    def put(self, target_id, sequence, **fields):
        target = samples.make_target(target_id, started_ms=7, **fields)
        self._add(
            replica.TargetChange(self._next_revision(), target, sequence)
        )

    def take_out(self, zone):
        self._add(replica.ZoneChange(self._next_revision(), zone, True))

    def _add(self, change):
        self.entries[change.key] = change
        self.changes.append(change)

    def remove(self, key):
        change = self.entries.pop(key, None)
        if change is None:
            return
        revision = self._next_revision()
        if isinstance(change, replica.ZoneChange):
            removal = replica.ZoneChange(revision, change.zone, False)
        else:
            removal = replica.TargetRemoval(revision, change.target.id)
        self.changes.append(removal)

    def keep_copy(self):
        self._copy = (self.number, dict(self.entries))

    def restore(self):
        self.number, entries = self._copy
        self.era += 1
        self.entries = {}
        for change in entries.values():
            number = replica.number_of(change.revision)
            self._add(_at(change, replica.make_revision(self.era, number)))

    def snapshot(self):
        revision = replica.make_revision(self.era, self.number)
        return replica.ReadResult(
            revision, tuple(self.entries.values()), is_snapshot=True
        )


def _at(change, revision):
    fields = {name: getattr(change, name) for name in change.__struct_fields__}
    return type(change)(**{**fields, "revision": revision})


def _merged(*changes):
    merged = replica.Replica()
    merged.merge(changes)
    return merged


def _ids(merged):
    return sorted(target.id for target in merged.targets())


def test_configuration_of_a_restored_store_is_newer_at_a_smaller_number():
    merged = _merged(
        samples.make_policy_change(replica.make_revision(1, 35), 9),
        samples.make_policy_change(replica.make_revision(2, 30), 4),
    )
    assert merged.policy.version == 9
    merged.merge(
        [samples.make_policy_change(replica.make_revision(2, 35), 11)]
    )
    assert merged.policy.version == 11


def test_restarted_host_takes_a_newer_configuration_of_the_former_era():
    """It reads the copy first, and then hears from a host that knows more."""
    merged = _merged(
        samples.make_policy_change(replica.make_revision(2, 30), 4),
        samples.make_policy_change(replica.make_revision(1, 35), 9),
    )
    assert merged.policy.version == 9


@pytest.mark.parametrize("is_known_first", [True, False])
def test_copied_entry_does_not_undo_that_a_target_drains(is_known_first):
    store = RestorableStore()
    store.put("t1", 3)
    store.keep_copy()
    store.put("t1", 8, is_leaving=True)
    drained = store.changes[-1]
    store.restore()
    changes = [drained, *store.snapshot().changes]
    merged = _merged(*(changes if is_known_first else reversed(changes)))
    assert merged.targets()[0].is_leaving
    store.put("t1", 9)
    merged.merge(store.changes[-1:])
    assert not merged.targets()[0].is_leaving


@pytest.mark.parametrize("is_known_first", [True, False])
def test_copied_entry_does_not_bring_back_a_target_that_left(is_known_first):
    """Its address may belong to another service by now."""
    store = RestorableStore()
    store.put("t1", 3)
    store.keep_copy()
    store.remove("target/t1")
    known = _merged(*store.changes).newest_changes()
    store.restore()
    changes = [*known, *store.snapshot().changes]
    merged = _merged(*(changes if is_known_first else reversed(changes)))
    assert _ids(merged) == []
    store.put("t1", 4)
    merged.merge(store.changes[-1:])
    assert _ids(merged) == ["t1"]


def test_removal_in_a_restored_store_applies_to_any_former_entry():
    merged = _merged(
        replica.TargetChange(
            replica.make_revision(1, 50), samples.make_target(), 90
        ),
        replica.TargetRemoval(
            replica.make_revision(2, 40), model.TargetId("t1"), (0, 12)
        ),
    )
    assert _ids(merged) == []


def test_what_only_other_hosts_remember_of_a_former_era_is_removed():
    former = replica.make_revision(1, 50)
    merged = _merged(
        replica.TargetChange(former, samples.make_target("t1")),
        replica.TargetChange(
            replica.make_revision(2, 40), samples.make_target("t2")
        ),
        replica.ZoneChange(former, _ZONE, True),
    )
    removals = merged.removals_of_former_eras(replica.make_revision(2, 41))
    merged.merge(removals)
    assert _ids(merged) == ["t2"]
    assert not merged.zones_out_of_service()


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["put", "put", "drain", "remove", "copy", "restore"]),
        st.sampled_from(["t1", "t2"]),
    ),
    max_size=14,
)


@given(_STEPS, st.randoms(use_true_random=False))
def test_hosts_agree_whatever_they_heard_in_which_order(steps, rng):
    """Hosts that merge each other's changes repeatedly reach one state.

    Each of them has read the last snapshot, as after a restoration.
    """
    store = RestorableStore()
    for sequence, (step, target_id) in enumerate(steps, 1):
        if step in ("put", "drain"):
            store.put(target_id, sequence, is_leaving=step == "drain")
        elif step == "remove":
            store.remove(f"target/{target_id}")
        elif step == "copy":
            store.keep_copy()
        else:
            store.restore()
    hosts = [replica.Replica() for _ in range(3)]
    for host in hosts:
        heard = [one for one in store.changes if rng.random() < 0.7]
        rng.shuffle(heard)
        host.merge(heard)
        host.merge(store.snapshot().changes)
    for _ in range(3):
        for host in hosts:
            for other in hosts:
                host.merge(other.newest_changes())
    assert len({host.digest for host in hosts}) == 1
    assert len({frozenset(host.targets()) for host in hosts}) == 1


class RestoredStoreClient(test_storepoller.FakeStoreClient):
    """Serves a ``RestorableStore``, whose watches end with its era."""

    def __init__(self):
        super().__init__()
        self.store = RestorableStore()

    async def read_snapshot(self):
        self._raise_if_unavailable()
        return self.store.snapshot()

    async def read_changes_after(self, revision):
        self._raise_if_unavailable()
        if replica.era_of(revision) != self.store.era:
            raise replica.HistoryGone("restored")
        current = replica.make_revision(self.store.era, self.store.number)
        found = tuple(
            change
            for change in self.store.changes
            if revision < change.revision <= current
        )
        return replica.ReadResult(current, found, is_snapshot=False)


def _run(scenario):
    test_storepoller.run_scenario(RestoredStoreClient(), scenario)


def test_targets_that_a_restored_store_lacks_can_register_again():
    """Only those still missing two seconds after it are removed."""

    async def scenario(client, own_replica):
        client.store.put("t1", 1)
        client.store.keep_copy()
        client.store.put("t2", 1)
        client.store.put("t3", 1)
        await anyio.sleep(1.0)
        assert _ids(own_replica) == ["t1", "t2", "t3"]
        client.store.restore()
        await anyio.sleep(1.5)
        assert _ids(own_replica) == ["t1", "t2", "t3"]
        client.store.put("t2", 2)
        await anyio.sleep(2.0)
        assert _ids(own_replica) == ["t1", "t2"]

    _run(scenario)


def test_zone_stays_out_until_the_operators_can_have_written_it_again():
    async def scenario(client, own_replica):
        client.store.put("t1", 1)
        client.store.keep_copy()
        client.store.take_out(_ZONE)
        await anyio.sleep(1.0)
        client.store.restore()
        await anyio.sleep(4.5)
        assert own_replica.zones_out_of_service() == {_ZONE}
        await anyio.sleep(2.0)
        assert not own_replica.zones_out_of_service()

    _run(scenario)


def test_changes_are_read_when_their_numbers_were_given_out_before():
    """A watch from the former number missed what had the same numbers."""

    async def scenario(client, own_replica):
        client.store.keep_copy()
        for number in range(4):
            client.store.put(f"t{number}", 1)
        await anyio.sleep(1.0)
        client.store.restore()
        for number in range(10, 15):
            client.store.put(f"t{number}", 1)
        await anyio.sleep(4.0)
        assert _ids(own_replica) == [f"t{number}" for number in range(10, 15)]

    _run(scenario)


def test_targets_are_kept_when_another_host_read_the_restored_store_first():
    """Its news made the era look known, and living targets were removed."""

    async def scenario(client, own_replica):
        client.store.keep_copy()
        client.store.put("t1", 1)
        await anyio.sleep(1.0)
        client.store.restore()
        client.store.put("t2", 1)
        own_replica.merge(client.store.changes[-1:])
        await anyio.sleep(1.5)
        assert _ids(own_replica) == ["t1", "t2"]
        await anyio.sleep(2.0)
        assert _ids(own_replica) == ["t2"]

    _run(scenario)
