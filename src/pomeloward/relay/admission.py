"""Admission control: checks route, key and rate limit of requests."""

import dataclasses
import math

import expression

from pomeloward import balance
from pomeloward import model
from pomeloward import policy as policies
from pomeloward import quota
from pomeloward.relay import requesthead

# A host without a configuration gets one after about one heartbeat.
_STARTING_RETRY_AFTER_MS = 500.0
# The caller's next connection reaches another host at once.
_STOPPING_RETRY_AFTER_MS = 50.0
# Longest time until the response on a route without a timeout.
_DEFAULT_TIMEOUT_MS = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision to forward a request, and what it is based on.

    ``service_id`` is the one that was selected by the weights of the route.
    ``team`` is the owner of the caller's key, None if none is needed. The
    response is due by ``deadline_ms``.
    """

    route: policies.Route
    service_id: model.ServiceId
    team: policies.Team | None
    configuration_version: model.Version
    deadline_ms: float


class AdmissionControl:
    """Admits or refuses requests by the current configuration.

    ``policy_index`` is that of the current configuration, None until the
    host has one.
    """

    def __init__(self, rate_limiter: quota.TeamRateLimiter) -> None:
        self._rate_limiter = rate_limiter
        self._service_selector = balance.WeightedRoundRobin()
        self.policy_index: policies.PolicyIndex | None = None
        self._exits_at_ms = math.inf

    def refuse_beyond(self, exits_at_ms: float) -> None:
        """Refuse requests that may still run when the host exits."""
        self._exits_at_ms = exits_at_ms

    def refund_request(
        self, team: policies.Team | None, now_ms: float
    ) -> None:
        """Stop counting a request that did not run for its team's rate."""
        if team is not None:
            self._rate_limiter.refund_token(team.id, now_ms)

    def admit(
        self, head: requesthead.RequestHead, now_ms: float
    ) -> expression.Result[Admission, model.Refusal]:
        """Return the admission of a request, or a refusal.

        An admitted request counts for the rate of its team.
        """
        index = self.policy_index
        if index is None:
            return _refuse(
                model.ErrorKind.HOST_STARTING,
                "this host has no configuration yet",
                _STARTING_RETRY_AFTER_MS,
            )
        route = index.find_route(head.host, head.path)
        if route is None:
            return _refuse(
                model.ErrorKind.ROUTE_UNKNOWN, "no route for host and path"
            )
        deadline_ms = now_ms + _timeout_ms(route, head)
        if deadline_ms > self._exits_at_ms:
            return _refuse(
                model.ErrorKind.HOST_DRAINING,
                "this host is shutting down",
                _STOPPING_RETRY_AFTER_MS,
            )
        team = None
        if index.has_teams and not route.is_public:
            if head.key_digest is None:
                return _refuse(model.ErrorKind.KEY_MISSING, "a key is needed")
            team = index.find_team(head.key_digest)
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
                self._service_selector.select_service(route),
                team,
                index.policy.version,
                deadline_ms,
            )
        )


def _timeout_ms(route: policies.Route, head: requesthead.RequestHead) -> float:
    """Return the shorter timeout of route and caller."""
    timeout_ms = route.timeout_ms or _DEFAULT_TIMEOUT_MS
    if head.timeout_ms is not None:
        timeout_ms = min(timeout_ms, head.timeout_ms)
    return timeout_ms


def _refuse(
    kind: model.ErrorKind, detail: str, retry_after_ms: float = 0.0
) -> expression.Result[Admission, model.Refusal]:
    """Return a refusal as the error of a result."""
    return expression.Error(
        model.Refusal(kind, detail, retry_after_ms=retry_after_ms)
    )
