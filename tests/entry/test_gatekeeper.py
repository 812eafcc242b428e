"""Tests of when a host may run a request."""

import anyio
import pytest

from pomeloward import catalog
from pomeloward import model
from pomeloward import settings
from pomeloward.entry import callerrequest
from pomeloward.entry import gatekeeper
from pomeloward.entry import grant
from pomeloward.entry import openwork

_DIGEST = b"d" * 32


class _View:
    def __init__(self, teams, route):
        self.teams = teams
        self.route = route

    def team_of_key(self, digest):
        return self.teams.get(digest)

    def team(self, team):
        return catalog.Team(team, 1.0, 1.0)

    def route_for(self, method, path):
        return self.route


class _Host:
    def __init__(self, view, state, has_standing):
        self.view = view
        self.state = state
        self._has_standing = has_standing

    def has_standing(self, now_ms):
        return self._has_standing


def _decide(
    state=model.HostState.READY,
    has_standing=True,
    digests=(_DIGEST,),
    teams=None,
    open_requests=0,
    **route,
):
    known = {_DIGEST: "t"} if teams is None else teams
    record = catalog.Route("r", "s", "/", **route)
    host = _Host(_View(known, record), state, has_standing)
    keeper = gatekeeper.Gatekeeper(host, settings.Limits(open_requests=5))
    request = callerrequest.CallerRequest(
        "q", "GET", "/", b"/", [], frozenset(digests), "1.1"
    )
    result = keeper.decide(request, open_requests, 0.0)
    return result.error.kind if result.is_error() else result.ok.team


_KIND = model.ErrorKind
_OPEN = catalog.RouteAccess.OPEN


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, "t"),
        ({"digests": ()}, _KIND.KEY_MISSING),
        ({"teams": {}}, _KIND.KEY_UNKNOWN),
        ({"digests": (_DIGEST, b"e")}, _KIND.BAD_REQUEST),
        ({"teams": {_DIGEST: "t"}, "access": _OPEN}, ""),
        ({"access": _OPEN, "digests": (), "has_standing": False}, ""),
        ({"has_standing": False}, _KIND.HOST_ISOLATED),
        (
            {"access": _OPEN, "is_idempotent": False, "has_standing": False},
            _KIND.HOST_ISOLATED,
        ),
        ({"state": model.HostState.STARTING}, _KIND.HOST_STARTING),
        ({"state": model.HostState.DRAINING}, "t"),
        ({"open_requests": 5}, _KIND.CONNECTION_LIMIT),
    ],
)
def test_request_runs_only_for_the_team_of_its_key(changes, expected):
    """Guards against a request that runs without its key or standing."""
    assert _decide(**changes) == expected


def test_route_of_other_teams_is_forbidden():
    """Guards against a team on another team's route."""
    assert _decide(teams={_DIGEST: "u"}, access=_OPEN) == ""
    record = catalog.Route("r", "s", "/", teams=("t",))
    view = _View({_DIGEST: "u"}, record)
    request = callerrequest.CallerRequest(
        "q", "GET", "/", b"/", [], frozenset([_DIGEST]), "1.1"
    )
    found = grant.decide(view, request)
    assert found.error.kind is _KIND.ROUTE_FORBIDDEN


def test_lost_standing_ends_keyed_work_only():
    """Guards against keyed work on a host that hears of no withdrawal."""

    async def run():
        work = openwork.OpenWork()
        route = catalog.Route("r", "s", "/")
        keyed = grant.Grant(route, "t", _DIGEST)
        ended = work.add("a", keyed, anyio.CancelScope())
        kept = work.add("b", grant.Grant(route), anyio.CancelScope())
        assert work.end_keyed(_KIND.HOST_ISOLATED) == 1
        assert ended.ended_by is _KIND.HOST_ISOLATED
        assert kept.ended_by is None
        moved = _View({_DIGEST: "another team"}, route)
        third = work.add("c", keyed, anyio.CancelScope())
        work.end_withdrawn(moved)
        assert third.ended_by is _KIND.KEY_WITHDRAWN
        assert ended.ended_by is _KIND.HOST_ISOLATED

    anyio.run(run)
