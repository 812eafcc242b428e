"""Decides which team a request runs for and on which route."""

import dataclasses

import expression

from pomeloward import catalog
from pomeloward import model
from pomeloward.entry import callerrequest

# Stands for callers of routes that are open to all.
NO_TEAM = model.TeamId("")


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request's route, and the team and key digest it runs under.

    ``weight`` is the team's in the queue.
    """

    route: catalog.Route
    team: model.TeamId = NO_TEAM
    digest: bytes | None = None
    weight: float = 1.0

    def is_in_force(self, view: catalog.View) -> bool:
        """Tell whether a later configuration still grants the key."""
        if self.digest is None:
            return True
        return view.team_of_key(self.digest) == self.team


def decide(
    view: catalog.View, request: callerrequest.CallerRequest
) -> expression.Result[Grant, model.Refusal]:
    """Look up the key and the route of a request."""
    route = view.route_for(request.method, request.path)
    if route is None:
        return _refuse(
            model.ErrorKind.ROUTE_UNKNOWN, "no route for method and path"
        )
    if route.access is catalog.RouteAccess.OPEN:
        return expression.Ok(Grant(route))
    team = team_of(view, request)
    if team.is_error():
        return expression.Error(team.error)
    if route.teams and team.ok not in route.teams:
        return _refuse(
            model.ErrorKind.ROUTE_FORBIDDEN, "the team may not use the route"
        )
    (digest,) = request.digests
    record = view.team(team.ok)
    weight = 1.0 if record is None else record.weight
    return expression.Ok(Grant(route, team.ok, digest, weight))


def team_of(
    view: catalog.View, request: callerrequest.CallerRequest
) -> expression.Result[model.TeamId, model.Refusal]:
    """Return the team of the one key that came with a request."""
    if not request.digests:
        return expression.Error(
            model.Refusal(model.ErrorKind.KEY_MISSING, "a key is required")
        )
    if len(request.digests) > 1:
        return expression.Error(
            model.Refusal(
                model.ErrorKind.BAD_REQUEST, "more than one key came along"
            )
        )
    (digest,) = request.digests
    team = view.team_of_key(digest)
    if team is None:
        return expression.Error(
            model.Refusal(model.ErrorKind.KEY_UNKNOWN, "the key is unknown")
        )
    return expression.Ok(team)


def _refuse(
    kind: model.ErrorKind, detail: str
) -> expression.Result[Grant, model.Refusal]:
    return expression.Error(model.Refusal(kind, detail))
