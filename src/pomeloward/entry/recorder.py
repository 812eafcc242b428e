"""Records the end of each request."""

import collections.abc

import anyio

from pomeloward import catalog
from pomeloward import model
from pomeloward import observability

ZoneOf = collections.abc.Callable[
    [model.ServiceId, model.TargetId], model.ZoneId | None
]


class Recorder:
    """Writes metrics, journal and log of requests.

    Only ids, kinds and numbers are recorded; nothing of a request's
    headers, query or cookies, so that no key can be among it.
    """

    def __init__(
        self,
        metrics: observability.Metrics,
        journal: observability.DecisionJournal,
        log: observability.EventLogger,
        outcome_counter: observability.OutcomeCounter,
        zone_of: ZoneOf,
    ) -> None:
        self._metrics = metrics
        self._journal = journal
        self._log = log
        self._outcome_counter = outcome_counter
        self._zone_of = zone_of

    def decision(
        self,
        kind: str,
        reason: str,
        request: model.RequestId | None = None,
        team: model.TeamId | None = None,
        target: model.TargetId | None = None,
    ) -> None:
        """Record a decision in journal and log."""
        entry = observability.Decision(
            at_ms=anyio.current_time() * 1_000,
            kind=kind,
            reason=reason,
            request=request,
            team=team,
            target=target,
        )
        self._journal.record(entry)
        self._log.log_decision(entry)

    def refused(
        self,
        refusal: model.Refusal,
        request: model.RequestId,
        team: model.TeamId | None = None,
        service: model.ServiceId | None = None,
    ) -> None:
        """Record a refusal.

        It counts against the service's level where the fleet or a target
        is the reason, and not the caller.
        """
        if service is not None and refusal.rule.status >= 500:
            self._outcome_counter.record(team, service, None, is_good=False)
        kind = refusal.kind.value
        self._metrics.increment("pomeloward_refusals_total", (("kind", kind),))
        self._journal.record(
            observability.Decision(
                at_ms=anyio.current_time() * 1_000,
                kind="refused",
                reason=f"{kind}: {refusal.detail}",
                request=request,
                team=team,
            )
        )

    def answered(
        self,
        request: model.RequestId,
        route: catalog.Route,
        team: model.TeamId,
        target: model.TargetId | None,
        status: int,
        elapsed_ms: float,
    ) -> None:
        """Record the head of an answer; an order's has no target."""
        self._metrics.observe_ms("pomeloward_head_seconds", elapsed_ms)
        zone = self._zone_of(route.service, target) if target else None
        is_good = status < 500
        self._outcome_counter.record(
            team, route.service, zone, is_good, elapsed_ms
        )
        self._journal.record(
            observability.Decision(
                at_ms=anyio.current_time() * 1_000,
                kind="answered",
                reason=route.id,
                request=request,
                team=team,
                target=target,
            )
        )

    def ended(
        self, request: model.RequestId, status: int, started_ms: float
    ) -> None:
        """Record the end of a request."""
        now_ms = anyio.current_time() * 1_000
        self._metrics.increment(
            "pomeloward_requests_total", (("status", str(status)),)
        )
        self._log.log_request(
            now_ms,
            status >= 400 or status == 0,
            {
                "request": request,
                "status": status,
                "duration_ms": round(now_ms - started_ms, 3),
            },
        )
