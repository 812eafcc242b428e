"""Puts the parts of a host together."""

import random
import time

import anyio
import anyio.abc

from pomeloward import address
from pomeloward import catalog
from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import observability
from pomeloward import service
from pomeloward import settings
from pomeloward.gateway import condition
from pomeloward.gateway import foundation as foundations
from pomeloward.gateway import probe
from pomeloward.gateway import shared
from pomeloward.gateway import targets


class Assembly:
    """The parts of one host upon its foundation.

    It is made inside the running loop; ``run`` runs all of their loops.
    """

    def __init__(
        self,
        host_settings: settings.Settings,
        foundation: foundations.Foundation,
        incarnation: model.Incarnation,
        rng: random.Random,
        links: dispatch.Links | None = None,
        target_probe: service.Probe | None = None,
    ) -> None:
        """Build the parts; ``links`` and ``target_probe`` replace sockets."""
        self._settings = host_settings
        self._incarnation = incarnation
        self._foundation = foundation
        self.open_work = entry.OpenWork()
        self.metrics = observability.Metrics()
        self.journal = observability.DecisionJournal()
        self.condition = condition.Condition(host_settings.host, foundation)
        self._targets = targets.Targets(lambda: foundation.view)
        self.shared = shared.Shared(
            host_settings,
            foundation,
            target_probe or probe.Probe(self._targets, host_settings.address),
            incarnation,
            rng,
        )
        limits = host_settings.limits
        if links is None:
            links = dispatch.Links(
                limits.target_idle_ms,
                host_settings.address,
                dispatch.StrayLog(
                    dispatch.REQUEST_ID_HEADER.encode("ascii"), self.metrics
                ),
            )
        self._links = links
        self._dispatcher = dispatch.Dispatcher(
            self.shared.admission,
            self.shared.slots,
            dispatch.Sender(
                self._targets,
                self._links,
                limits.connect_ms,
                limits.stream_idle_ms,
            ),
            self.journal,
        )
        logs = host_settings.logs
        log = observability.EventLogger(
            logs.request_ratio, logs.refusals_per_s, rng
        )
        self.outcome_counter = observability.OutcomeCounter()
        self.recorder = entry.Recorder(
            self.metrics,
            self.journal,
            log,
            self.outcome_counter,
            self._zone_of,
        )
        self.metrics.register_gauge(
            "pomeloward_open_requests", lambda: len(self.open_work)
        )
        self._book = address.AddressBook(
            host_settings.host,
            model.RegionId(host_settings.region),
            foundation.members,
            foundation.owners,
            rng,
        )
        self._book.configure(foundation.view)
        self.shared.controllers.on_change = self._on_target
        foundation.on_view(self._on_view)

    def application(self) -> entry.Application:
        """Return the application that serves callers."""
        limits = self._settings.limits
        parts = self.shared
        gatekeeper = entry.Gatekeeper(self.condition, limits)
        return entry.Application(
            self.condition,
            entry.Handler(
                gatekeeper,
                entry.OrderHandler(
                    parts.orders, parts.budget, self._dispatcher, limits
                ),
                parts.budget,
                self._dispatcher,
                self.open_work,
                self.recorder,
                self._book,
                limits,
            ),
            entry.WebsocketHandler(
                gatekeeper,
                parts.budget,
                parts.admission,
                entry.WebsocketTargets(self._targets, limits),
                self.open_work,
                self.recorder,
                limits,
            ),
            entry.Admin(
                self.condition,
                self._book,
                parts.orders,
                self.metrics,
                self.journal,
                self._outcome_sample,
            ),
            self.recorder,
            limits,
        )

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the loops of all parts until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.shared.run)
                tasks.start_soon(self.open_work.run)
                tasks.start_soon(self._dispatcher.run)
                tasks.start_soon(self._links.run)
                task_status.started()
        finally:
            with anyio.CancelScope(shield=True):
                await self._links.aclose()

    def _outcome_sample(self) -> observability.OutcomeSample:
        return self.outcome_counter.sample(
            self._settings.host, self._incarnation
        )

    def _on_target(
        self, service: model.ServiceId, target: model.TargetId, reason: str
    ) -> None:
        self.recorder.decision(
            "target_state", f"{service}: {reason}", target=target
        )

    def _zone_of(
        self, service: model.ServiceId, target: model.TargetId
    ) -> model.ZoneId | None:
        found = self._targets.target(service, target)
        return found.zone if found else None

    def _on_view(self, view: catalog.View) -> None:
        self._book.configure(view)
        ended = self.open_work.end_withdrawn(view)
        if ended:
            self.recorder.decision(
                "keys_withdrawn", f"ended {ended} open requests"
            )


def new_incarnation() -> model.Incarnation:
    """Return the number of this start; wall time orders a host's starts."""
    return model.Incarnation(time.time_ns() // 1_000_000)
