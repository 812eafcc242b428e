"""Tests of merging changes into a replica."""

from hypothesis import given
from hypothesis import strategies as st

from pomeloward import model
from pomeloward import replica
from tests.replica import samples

_ZONE = model.ZoneId("a")


def _make_change(revision, kind, target_id, flag):
    """Return a change of a kind.

    ``flag`` tells whether a target is leaving or a zone is out of service.
    """
    if kind == "target":
        return replica.TargetChange(
            revision, samples.make_target(target_id, is_leaving=flag)
        )
    if kind == "gone":
        return replica.TargetRemoval(revision, model.TargetId(target_id))
    if kind == "policy":
        return samples.make_policy_change(revision, revision)
    return replica.ZoneChange(revision, _ZONE, flag)


# Histories of a store, which makes one change at each revision.
_HISTORIES = st.lists(
    st.tuples(
        st.sampled_from(["target", "gone", "policy", "zone"]),
        st.sampled_from(["t1", "t2"]),
        st.booleans(),
    ),
    max_size=12,
).map(
    lambda rows: [
        _make_change(index + 1, *row) for index, row in enumerate(rows)
    ]
)


@given(_HISTORIES, st.randoms(use_true_random=False))
def test_merge_order_and_repeats_do_not_matter(history, rng):
    """Hosts that merge the same changes in any order have the same state."""
    in_order, shuffled = replica.Replica(), replica.Replica()
    in_order.merge(history)
    changes = list(history) * 2
    rng.shuffle(changes)
    for change in changes:
        shuffled.merge([change])
    assert set(in_order.targets()) == set(shuffled.targets())
    assert in_order.zones_out_of_service() == shuffled.zones_out_of_service()
    assert in_order.policy == shuffled.policy
    assert in_order.digest == shuffled.digest


def test_merge_does_not_return_a_heartbeat_without_new_content():
    merged = replica.Replica()
    assert merged.merge([replica.TargetChange(1, samples.make_target())])
    assert not merged.merge([replica.TargetChange(2, samples.make_target())])
    assert not merged.merge([replica.TargetRemoval(1, model.TargetId("t1"))])
    assert merged.targets()


def test_configuration_is_not_replaced_by_an_older_version():
    """A restored store may write an old version at a new revision."""
    merged = replica.Replica()
    merged.merge([samples.make_policy_change(5, 7)])
    assert not merged.merge([samples.make_policy_change(9, 6)])
    assert merged.policy.version == 7


def test_versions_over_64_bits_are_compared_as_numbers():
    """Guards against an error at a version that is too large to be hashed."""
    host, other = replica.Replica(), replica.Replica()
    digests = set()
    for version in (2**64 - 1, 2**64, 10**20, 10**20 + 1, 10**3_999):
        change = samples.make_policy_change(1, version)
        assert host.merge([change]) == (change,)
        assert host.policy.version == version
        digests.add(host.digest)
    assert len(digests) == 5
    assert other.merge([samples.make_policy_change(9, 10**3_999)])
    assert other.digest == host.digest
    assert host.merge([samples.make_policy_change(9, 2**64)]) == ()


def test_digest_after_a_removal_is_that_of_a_host_without_the_target():
    after_removal, empty = replica.Replica(), replica.Replica()
    after_removal.merge([replica.TargetChange(1, samples.make_target())])
    after_removal.merge([replica.TargetRemoval(2, model.TargetId("t1"))])
    assert after_removal.digest == empty.digest


def test_snapshot_implies_removals_of_older_entries_that_it_omits():
    merged = replica.Replica()
    merged.merge(
        [
            replica.TargetChange(4, samples.make_target("t1")),
            replica.TargetChange(9, samples.make_target("t2")),
            replica.ZoneChange(3, _ZONE, True),
        ]
    )
    removals = merged.implied_removals({"target/t3"}, 6)
    merged.merge(removals)
    assert [target.id for target in merged.targets()] == ["t2"]
    assert not merged.zones_out_of_service()
