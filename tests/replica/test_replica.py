"""Tests of merging what the platform publishes."""

from hypothesis import given
from hypothesis import strategies as st

from pomeloward import model
from pomeloward import replica
from tests.replica import samples

_ZONE = model.ZoneId("a")


def _at_revision(revision, kind, name, flag):
    """Return the one change that the store made at a revision."""
    if kind == "target":
        return replica.TargetChange(
            revision, samples.target(name, is_leaving=flag)
        )
    if kind == "gone":
        return replica.TargetRemoval(revision, model.TargetId(name))
    if kind == "policy":
        return samples.policy_change(revision, revision)
    return replica.ZoneChange(revision, _ZONE, flag)


_HISTORY = st.lists(
    st.tuples(
        st.sampled_from(["target", "gone", "policy", "zone"]),
        st.sampled_from(["t1", "t2"]),
        st.booleans(),
    ),
    max_size=12,
).map(lambda rows: [_at_revision(n + 1, *row) for n, row in enumerate(rows)])


@given(_HISTORY, st.randoms(use_true_random=False))
def test_order_of_arrival_does_not_matter(history, rng):
    """Hosts that hear the same changes in any order know the same."""
    straight, shuffled = replica.Replica(), replica.Replica()
    straight.merge(history)
    changed = list(history) * 2
    rng.shuffle(changed)
    for one in changed:
        shuffled.merge([one])
    assert set(straight.targets()) == set(shuffled.targets())
    assert straight.zones_out_of_service() == shuffled.zones_out_of_service()
    assert straight.policy == shuffled.policy
    assert straight.digest == shuffled.digest


def test_heartbeat_alone_is_no_news():
    held = replica.Replica()
    assert held.merge([replica.TargetChange(1, samples.target())])
    assert not held.merge([replica.TargetChange(2, samples.target())])
    assert not held.merge([replica.TargetRemoval(1, model.TargetId("t1"))])
    assert held.targets()


def test_older_configuration_never_comes_back():
    """A restored store may write an old version at a new revision."""
    held = replica.Replica()
    held.merge([samples.policy_change(5, 7)])
    assert not held.merge([samples.policy_change(9, 6)])
    assert held.policy.version == 7


def test_host_that_never_knew_a_target_agrees_after_its_removal():
    old, new = replica.Replica(), replica.Replica()
    old.merge([replica.TargetChange(1, samples.target())])
    old.merge([replica.TargetRemoval(2, model.TargetId("t1"))])
    assert old.digest == new.digest


def test_listing_implies_removals_of_what_it_leaves_out():
    held = replica.Replica()
    held.merge(
        [
            replica.TargetChange(4, samples.target("t1")),
            replica.TargetChange(9, samples.target("t2")),
            replica.ZoneChange(3, _ZONE, True),
        ]
    )
    removals = held.implied_removals({"target/t3"}, 6)
    held.merge(removals)
    assert [one.id for one in held.targets()] == ["t2"]
    assert not held.zones_out_of_service()
