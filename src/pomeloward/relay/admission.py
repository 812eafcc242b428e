"""Decides whether a request is admitted, and for whom."""

import dataclasses

import expression

from pomeloward import balance
from pomeloward import model
from pomeloward import policy as policies
from pomeloward import quota
from pomeloward.relay import requesthead

# A host without a configuration has one about a beat later.
_STARTING_RETRY_MS = 500.0
# The caller's next connection goes to another host at once.
_STOP_RETRY_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """What a request is admitted to."""

    route: policies.Route
    service: model.ServiceId
    team: policies.Team | None
    configuration_version: model.Version


class AdmissionControl:
    """Checks route, key and rate of each request."""

    def __init__(self, rate_limiter: quota.TeamRateLimiter) -> None:
        self._rate_limiter = rate_limiter
        self._weights = balance.WeightedRoundRobin()
        self.policy_index: policies.PolicyIndex | None = None
        self._is_closed = False

    def stop_admitting(self) -> None:
        """Refuse all requests from now on, since the host stops."""
        self._is_closed = True

    def refund_request(
        self, team: policies.Team | None, now_ms: float
    ) -> None:
        """Return what the rate of a team lost by a request that didn't run."""
        if team is not None:
            self._rate_limiter.refund_token(team.id, now_ms)

    def admit(
        self, caller: requesthead.RequestHead, now_ms: float
    ) -> expression.Result[Admission, model.Refusal]:
        """Admit a request or return why not."""
        if self._is_closed:
            return _refuse(
                model.ErrorKind.HOST_DRAINING,
                "this host stops",
                _STOP_RETRY_MS,
            )
        index = self.policy_index
        if index is None:
            return _refuse(
                model.ErrorKind.HOST_STARTING,
                "this host has no configuration yet",
                _STARTING_RETRY_MS,
            )
        route = index.find_route(caller.host, caller.path)
        if route is None:
            return _refuse(
                model.ErrorKind.ROUTE_UNKNOWN, "no route for host and path"
            )
        team = None
        if index.has_teams and not route.is_public:
            if caller.key_digest is None:
                return _refuse(model.ErrorKind.KEY_MISSING, "a key is needed")
            team = index.find_team(caller.key_digest)
            if team is None:
                return _refuse(
                    model.ErrorKind.KEY_UNKNOWN, "the key is unknown"
                )
            if not self._rate_limiter.try_admit(team.id, now_ms):
                return _refuse(
                    model.ErrorKind.RATE_EXCEEDED,
                    f"team {team.id} exceeds its rate",
                    self._rate_limiter.retry_after_ms(team.id, now_ms),
                )
        return expression.Ok(
            Admission(
                route,
                self._weights.select_service(route),
                team,
                index.policy.version,
            )
        )


def _refuse(
    kind: model.ErrorKind, detail: str, retry_after_ms: float = 0.0
) -> expression.Result[Admission, model.Refusal]:
    return expression.Error(
        model.Refusal(kind, detail, retry_after_ms=retry_after_ms)
    )
