"""Tests that a configuration of many changes equals one built at once."""

import hypothesis
from hypothesis import strategies

from pomeloward import catalog
from pomeloward import model
from tests.catalog import samples

_TEAM = strategies.sampled_from(["crew", "depot", "mill"])
_SERVICE = strategies.sampled_from(["orders", "logistics"])
_SITE = strategies.sampled_from(["west", "east"])
_NUMBER = strategies.integers(1, 3)
_PUT = strategies.one_of(
    strategies.builds(
        catalog.Team, _TEAM, _NUMBER.map(float), strategies.just(1.0)
    ),
    strategies.builds(
        catalog.Key, _NUMBER.map(str).map(samples.digest), _TEAM
    ),
    strategies.builds(catalog.Service, _SERVICE),
    strategies.builds(
        catalog.Route,
        _NUMBER.map("r{}".format),
        _SERVICE,
        _NUMBER.map("/p{}".format),
        strategies.sampled_from([("GET",), ("GET", "POST"), ("POST",)]),
        teams=strategies.sampled_from([(), ("crew",), ("mill", "depot")]),
    ),
    strategies.builds(
        catalog.Target,
        _NUMBER.map("x{}".format),
        _SERVICE,
        strategies.sampled_from(["opuwo", "khorixas"]),
        _SITE,
        strategies.just("http://127.0.0.5:80"),
    ),
)
_SHARES = strategies.builds(
    lambda service, west: [
        catalog.SiteShare(service, "west", west),
        catalog.SiteShare(service, "east", 1 - west),
    ],
    _SERVICE,
    strategies.sampled_from([0.25, 0.5, 1.0]),
)
# Most changes have one record, since a broken rule rejects the whole change.
_CHANGE = strategies.one_of(
    strategies.tuples(
        strategies.lists(_PUT, min_size=1, max_size=1), strategies.just([])
    ),
    strategies.tuples(_SHARES, strategies.just([])),
    strategies.tuples(
        strategies.just([]),
        strategies.lists(strategies.integers(0, 99), min_size=1, max_size=1),
    ),
    strategies.tuples(
        strategies.lists(_PUT, max_size=3),
        strategies.lists(strategies.integers(0, 99), max_size=3),
    ),
)


def _facts(view):
    """Return what every look-up by an index finds."""
    services = sorted(each.id for each in view.services())
    return {
        "contents": sorted(map(repr, view.contents())),
        "targets": {
            service: sorted(each.id for each in view.targets(service))
            for service in services
        },
        "shares": {service: view.shares(service) for service in services},
        "routes": {
            (method, path): view.route_for(method, path)
            for method in ("GET", "POST")
            for path in ("/p1", "/p2", "/p3", "/orders", "/orders/wear")
        },
    }


def _deletions(view, numbers):
    names = [
        (catalog.kind_of(record), catalog.name_of(record))
        for record in view.contents()
    ]
    return {names[number % len(names)] for number in numbers}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(changes=strategies.lists(_CHANGE, min_size=8, max_size=25))
def test_changes_leave_the_indexes_of_a_rebuilt_configuration(changes):
    """Guards against an index or count that drifts from the records.

    A drifted count would allow a team to be deleted while its keys are
    granted, or refuse a valid change for ever.
    """
    view = samples.configuration()
    for put, numbers in changes:
        gone = _deletions(view, numbers)
        change = samples.change(view.version, put, gone)
        before = _facts(view)
        try:
            following = view.applied(change)
        except model.ConfigurationError:
            assert _facts(view) == before
            continue
        view = following
    rebuilt = catalog.Configuration.of_records(view.version, view.contents())
    assert _facts(rebuilt) == _facts(view)
    for record in view.contents():
        place = (catalog.kind_of(record), catalog.name_of(record))
        change = samples.change(view.version, (), [place])
        assert _outcome(view, change) == _outcome(rebuilt, change)


def _outcome(view, change):
    try:
        return _facts(view.applied(change))
    except model.ConfigurationError as error:
        return str(error)
