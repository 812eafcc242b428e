"""Tests of look-ups, changes and rejections."""

import hypothesis
from hypothesis import strategies
import pytest

from pomeloward import catalog
from pomeloward import model
from tests.catalog import samples

_KIND = catalog.Kind


def test_lookups_find_what_was_put():
    """Guards against a record that is packed but not found again."""
    view: catalog.View = samples.configuration()
    for record in samples.records():
        found = view.record(catalog.kind_of(record), catalog.name_of(record))
        assert found == record
    assert view.team_of_key(samples.digest("k1")) == "crew"
    assert view.team_of_key(samples.digest("k2")) is None
    assert {each.id for each in view.targets("orders")} == {"t1", "t2"}
    assert view.shares("orders") == {"west": 0.25, "east": 0.75}
    assert [each.number for each in view.rosters("south")] == [1]


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/orders", "status"),
        ("GET", "/orders/7", "status"),
        ("GET", "/orders/wear/7", "wear"),
        ("POST", "/orders/wear/7", "place"),
        ("GET", "/orders/", "status"),
        ("GET", "/ordersx", None),
        ("GET", "/orders/wearing", "status"),
        ("PUT", "/orders", None),
        ("GET", "/x/../orders", None),
        ("GET", "/orders//wear", None),
        ("GET", "/orders/./wear", None),
        ("GET", "/" + "a/" * 10_000, None),
        ("GET", "", None),
    ],
)
def test_route_is_the_longest_whole_prefix(method, path, expected):
    """Guards against a request that reaches another team's route."""
    route = samples.configuration().route_for(method, path)
    assert (route.id if route else None) == expected


_TEAM = catalog.Team("crew", 10.0, 20.0)


@pytest.mark.parametrize(
    ("put", "delete", "reason"),
    [
        ([catalog.Team("crew", 0.0, 20.0)], [], "rate_per_s"),
        ([catalog.Team("crew", float("nan"), 20.0)], [], "rate_per_s"),
        ([catalog.Team("crew", 1.0, float("inf"))], [], "burst_requests"),
        ([catalog.Team("a b", 1.0, 1.0)], [], "not a valid id"),
        ([catalog.Key(b"short", "crew")], [], "32 bytes"),
        ([catalog.Key(samples.digest("x"), "none")], [], "not known"),
        ([catalog.Key(samples.digest("k1"), "depot")], [], "another team"),
        ([catalog.Service("orders", 1.5)], [], "floor_ratio"),
        ([catalog.SiteShare("orders", "west", 0.5)], [], "sum to 1.25"),
        (
            [
                catalog.SiteShare("orders", "north", 0.25),
                catalog.SiteShare("orders", "west", 0.0),
            ],
            [],
            "no target",
        ),
        ([catalog.Route("x", "orders", "/orders")], [], "claimed by status"),
        ([catalog.Route("x", "none", "/x")], [], "not known"),
        ([catalog.Route("x", "orders", "/a/../b")], [], "segment '..'"),
        ([catalog.Route("x", "orders", "/a/")], [], "segment ''"),
        ([catalog.Route("x", "orders", "a")], [], "start with a slash"),
        ([catalog.Region("south", 32)], [], "partitions cannot change"),
        ([catalog.Region("north", 64, 0.5)], [], "more than 1"),
        ([catalog.Roster("south", 1, ("h1",))], [], "cannot change"),
        ([catalog.Roster("south", 2, ("h1", "h9"))], [], "not known"),
        (
            [catalog.Roster("south", 1, ("h1", "h2"), ("opuwo", "opuwo"))],
            [],
            "cannot change",
        ),
        (
            [catalog.Roster("south", 2, ("h1", "h2"), ("opuwo",))],
            [],
            "zone of each host",
        ),
        (
            [catalog.Roster("south", 2, ("h1",), ("vacaria",))],
            [],
            "not in the region",
        ),
        ([catalog.Roster("south", 2, ("h1", "h1"))], [], "twice"),
        ([], [(_KIND.ROSTER, "south/1")], "newest roster"),
        ([], [(_KIND.TEAM, "crew")], "records refer to it"),
        ([], [(_KIND.SERVICE, "orders")], "records refer to it"),
        ([], [(_KIND.HOST, "h1")], "records refer to it"),
        ([], [(_KIND.TEAM, "none")], "deleted but not known"),
        ([], [(_KIND.TARGET, "t1")], "no target"),
        ([_TEAM], [(_KIND.TEAM, "crew")], "named twice"),
        ([_TEAM, _TEAM], [], "named twice"),
    ],
)
def test_broken_rule_rejects_the_whole_change(put, delete, reason):
    """Guards against a change that is accepted in part or without reason."""
    before = samples.configuration()
    valid = catalog.Team("extra", 1.0, 1.0)
    change = samples.change(1, [valid, *put], delete)
    with pytest.raises(model.ConfigurationError, match=reason):
        before.applied(change)
    assert before.team("extra") is None


def test_fourth_roster_is_rejected():
    """Guards against a lease that would need four majorities."""
    view = samples.configuration()
    for number in (2, 3):
        roster = catalog.Roster("south", number, ("h1",))
        view = view.applied(samples.change(number - 1, [roster]))
    assert [each.number for each in view.rosters("south")] == [1, 2, 3]
    fourth = catalog.Roster("south", 4, ("h1",))
    with pytest.raises(model.ConfigurationError, match="more than 3"):
        view.applied(samples.change(3, [fourth]))
    retired = [(_KIND.ROSTER, "south/1")]
    view = view.applied(samples.change(3, [fourth], retired))
    assert [each.number for each in view.rosters("south")] == [2, 3, 4]


def test_older_or_foreign_change_is_rejected():
    """Guards against a version that goes back or skips its base."""
    view = samples.configuration(5)
    with pytest.raises(model.StaleConfigurationError):
        view.applied(samples.change(4))
    with pytest.raises(model.ConfigurationError, match="against version 6"):
        view.applied(samples.change(6))
    # A rejected version 6 leaves a gap that the next change may skip.
    assert view.applied(samples.change(5, version=7)).version == 7


_TEAMS = strategies.dictionaries(
    strategies.sampled_from([f"team-{n}" for n in range(12)]),
    strategies.none() | strategies.integers(1, 9),
    max_size=6,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(changes=strategies.lists(_TEAMS, max_size=8))
def test_changes_equal_a_dictionary(changes):
    """Guards against an update that loses or keeps the wrong entries."""
    expected: dict[str, int] = {}
    view = catalog.Configuration.empty()
    for changed in changes:
        gone = [name for name in changed if changed[name] is None]
        gone = [name for name in gone if name in expected]
        new = {name: rate for name, rate in changed.items() if rate}
        before = dict(expected)
        older = view
        view = view.applied(
            samples.change(
                view.version,
                [catalog.Team(name, rate, 1.0) for name, rate in new.items()],
                [(_KIND.TEAM, name) for name in gone],
            )
        )
        expected.update(new)
        for name in gone:
            del expected[name]
        assert _rates(older) == before
        assert _rates(view) == expected


def _rates(view):
    return {each.id: each.rate_per_s for each in view.records_of(_KIND.TEAM)}
