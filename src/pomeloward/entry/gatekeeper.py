"""Decides whether this host may run a request now."""

import expression

from pomeloward import catalog
from pomeloward import model
from pomeloward import settings
from pomeloward.entry import callerrequest
from pomeloward.entry import grant as grants
from pomeloward.entry import steps


class Gatekeeper:
    """Checks the host's state and standing, its limits, key and route."""

    def __init__(
        self, host: steps.HostStatus, limits: settings.Limits
    ) -> None:
        self._host = host
        self._limits = limits

    def decide(
        self,
        request: callerrequest.CallerRequest,
        open_requests: int,
        now_ms: float,
    ) -> expression.Result[grants.Grant, model.Refusal]:
        """Return the grant under which a request may run here."""
        if self._host.state is model.HostState.STARTING:
            return _refuse(model.ErrorKind.HOST_STARTING, "starting")
        if open_requests >= self._limits.open_requests:
            return _refuse(
                model.ErrorKind.CONNECTION_LIMIT,
                f"{open_requests} requests are open",
            )
        granted = grants.decide(self._host.view, request)
        if granted.is_error():
            return granted
        route = granted.ok.route
        is_keyed = route.access is catalog.RouteAccess.KEYED
        needs_standing = is_keyed or not route.is_idempotent
        if needs_standing and not self._host.has_standing(now_ms):
            return _refuse(
                model.ErrorKind.HOST_ISOLATED,
                "this host hears too few others",
            )
        return granted


def _refuse(
    kind: model.ErrorKind, detail: str
) -> expression.Result[grants.Grant, model.Refusal]:
    return expression.Error(model.Refusal(kind, detail, retry_after_ms=1_000))
