"""A service's hosts, targets and controller in a deterministic event loop.

The decisions are those of the package; only the network, the targets and
the arrivals are modelled. Times are milliseconds.
"""

import collections.abc
import dataclasses
import functools
import heapq
import random

from bench import fleetparts
from bench import modelview
from pomeloward import model
from pomeloward.queue import ticket as ticket_
from pomeloward.service import controller as controller_
from pomeloward.service import detector
from pomeloward.service import messages
from pomeloward.service import outcome as outcome_
from pomeloward.service import targetrecord
from pomeloward.service import targetstate
from pomeloward.service import tuning as tuning_

_OUTCOME = outcome_.Outcome
_CONNECT_TIMEOUT_MS = 1_000.0
_RETURN_MS = 20.0
_ALONE_AVOID_MS = 10_000.0


class Fleet:
    """The event loop; faults are set from outside between events."""

    def __init__(
        self,
        deployment: fleetparts.Deployment,
        seed: int,
        tuning: tuning_.Tuning,
        *,
        is_alone: bool = False,
        shadows: collections.abc.Sequence[tuning_.Tuning] = (),
    ) -> None:
        self.now_ms = 0.0
        self.deployment = deployment
        self.rate_factor = 1.0
        self.team_factors = [1.0] * len(deployment.teams)
        self.slow_route_factor = 1.0
        self.slow: dict[model.TargetId, float] = {}
        self.failing: dict[model.TargetId, float] = {}
        self.cut: dict[model.TargetId, set[model.HostId]] = {}
        self.last_start_ms: dict[model.TargetId, float] = {}
        self.ejections: list[tuple[float, model.TargetId]] = []
        self.arrived = [0] * len(deployment.teams)
        self.served = [0] * len(deployment.teams)
        self.counts_from_ms = 0.0
        self.counts_until_ms = float("inf")
        self._rng = random.Random(seed)
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._number = 0
        self._is_alone = is_alone
        blind = dataclasses.replace(
            tuning, z_score=float("inf"), min_errors=1 << 60
        )
        self._detector = detector.Detector(tuning)
        self._shadows = [detector.Detector(other) for other in shadows]
        self.findings: list[tuple[float, int, model.TargetId]] = []
        self._tuning = tuning
        self.view = modelview.ModelView(
            deployment.targets, deployment.slots, deployment.hosts
        )
        self.controller = controller_.Controller(
            modelview.SERVICE,
            modelview.REGION,
            model.Epoch(1),
            blind if is_alone or shadows else tuning,
            random.Random(seed + 1),
        )
        self.controller.start(self.view, None, 0.0)
        slots = {target.id: deployment.slots for target in self.view.servers}
        self.hosts = [
            fleetparts.Host(n, seed, tuning) for n in range(deployment.hosts)
        ]
        for host in self.hosts:
            host.slots.configure(slots, ())
            self._start_alone(host)
            self.at(self._rng.random() * 500.0, self._periodic(host))
        self._by_name = {host.name: host for host in self.hosts}
        self._states: bytes = b""
        self._ticks = 0
        self.at(0.0, self._tick)
        self.at(1.0, self._arrive)

    def is_counted(self, arrived_ms: float) -> bool:
        """Tell whether a request of this time is in the figures."""
        return self.counts_from_ms <= arrived_ms < self.counts_until_ms

    def at(
        self, delay_ms: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Run an action after a delay."""
        self._number += 1
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, self._number, action)
        )

    def run(self, until_ms: float) -> None:
        """Run events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until_ms

    def _start_alone(self, host: fleetparts.Host) -> None:
        for target in self.view.servers if self._is_alone else ():
            record = targetrecord.TargetRecord(
                target, self.deployment.slots, self._tuning
            )
            record.change(targetstate.TargetState.WARM, 0.0)
            host.alone.append(record)

    def _arrive(self) -> None:
        rate = self.deployment.rate_per_ms * self.rate_factor
        weights = [
            share * factor
            for share, factor in zip(
                self.deployment.teams, self.team_factors, strict=True
            )
        ]
        self.at(self._rng.expovariate(rate * sum(weights)), self._arrive)
        team = self._rng.choices(range(len(weights)), weights)[0]
        host = self._rng.choice(self.hosts)
        route = "slow" if self._rng.random() < 0.1 else "usual"
        ticket = ticket_.Ticket(
            modelview.SERVICE,
            model.TeamId(str(team)),
            self.now_ms,
            self.now_ms + 10_000.0,
            route=model.RouteId(route),
        )
        if self.is_counted(self.now_ms):
            self.arrived[team] += 1
        host.queue.push(ticket)
        self._serve(host)

    def _serve(self, host: fleetparts.Host) -> None:
        while len(host.queue):
            ticket = next(host.queue.in_order())
            if ticket.deadline_ms <= self.now_ms:
                host.queue.remove(ticket)
                continue
            avoid = {
                target
                for target, until_ms in host.avoid_until_ms.items()
                if self.now_ms < until_ms
            }
            taken = host.slots.acquire(
                ticket.route, ticket.team, avoid, self.now_ms
            )
            if taken is None:
                break
            host.queue.serve(ticket)
            self._start(host, ticket, *taken)
        was_short = host.slots.is_short(self.now_ms)
        earlier = sum(host.slots.waiting.values())
        host.slots.waiting = host.queue.waiting()
        grew = len(host.queue) > earlier
        if host.slots.is_short(self.now_ms) and (grew or not was_short):
            self._report(host)

    def _start(
        self,
        host: fleetparts.Host,
        ticket: ticket_.Ticket,
        run: int,
        target: model.TargetId,
    ) -> None:
        self.last_start_ms[target] = self.now_ms
        if host.name in self.cut.get(target, ()):
            latency_ms = _CONNECT_TIMEOUT_MS
            outcome = _OUTCOME.CONNECT_FAILED
        else:
            usual_ms = self.deployment.service_ms
            latency_ms = self._rng.lognormvariate(-0.32, 0.8) * usual_ms
            latency_ms *= self.slow.get(target, 1.0)
            if ticket.route == "slow":
                latency_ms *= self.slow_route_factor
            is_error = self._rng.random() < self.failing.get(target, 0.001)
            outcome = _OUTCOME.ERROR if is_error else _OUTCOME.OK

        def finish() -> None:
            host.slots.release(run, outcome, latency_ms, self.now_ms)
            is_in_time = self.now_ms <= ticket.deadline_ms
            is_counted = self.is_counted(ticket.arrived_ms)
            if outcome is _OUTCOME.OK and is_in_time and is_counted:
                self.served[int(ticket.team)] += 1
            if outcome is _OUTCOME.CONNECT_FAILED:
                host.queue.push(ticket)
                self._report(host)
            self._serve(host)
            self.at(_RETURN_MS, lambda: self._give_back(host))

        self.at(latency_ms, finish)

    def _give_back(self, host: fleetparts.Host) -> None:
        if host.slots.has_excess(self.now_ms):
            self._report(host)

    def _periodic(
        self, host: fleetparts.Host
    ) -> collections.abc.Callable[[], None]:
        def report() -> None:
            age_ms = self.now_ms - host.reported_ms
            is_late = age_ms >= self._tuning.idle_report_ms
            if is_late or not host.slots.is_idle():
                self._report(host)
            self.at(self._tuning.report_ms, report)

        return report

    def _report(self, host: fleetparts.Host) -> None:
        if host.is_asking:
            host.is_due = True
            return
        host.is_asking = True
        host.is_due = False
        host.reported_ms = self.now_ms
        report = host.slots.report(self.now_ms)
        if host.alone:
            self._judge_alone(host, report)
        self.at(self.deployment.trip_ms, lambda: self._answer(host, report))

    def _answer(self, host: fleetparts.Host, report: messages.Report) -> None:
        answer = self.controller.report(host.name, report, self.now_ms)
        self._nudge()

        def apply() -> None:
            host.is_asking = False
            again = answer is not None and host.slots.apply(answer)
            self._serve(host)
            if again or host.is_due:
                self._report(host)

        self.at(self.deployment.trip_ms, apply)

    def _judge_alone(
        self, host: fleetparts.Host, report: messages.Report
    ) -> None:
        for record in host.alone:
            record.window.clear_running(host.name)
        for evidence in report.evidence:
            host.alone[evidence.index].observe(
                host.name, evidence, self.now_ms
            )
        for record, finding in self._detector.judge(host.alone, self.now_ms):
            until_ms = host.avoid_until_ms.get(record.id, 0.0)
            if finding is detector.Finding.GRAY and until_ms < self.now_ms:
                host.avoid_until_ms[record.id] = self.now_ms + _ALONE_AVOID_MS
                self.ejections.append((self.now_ms, record.id))

    def _tick(self) -> None:
        self.controller.tick(self.now_ms)
        self._nudge()
        self.at(50.0, self._tick)
        self._ticks += 1
        if self._ticks % 5 == 0:
            self._judge_shadows()

    def _judge_shadows(self) -> None:
        records = self.controller.targets.records
        for number, shadow in enumerate(self._shadows):
            for record, finding in shadow.judge(records, self.now_ms):
                if finding is detector.Finding.GRAY:
                    self.findings.append((self.now_ms, number, record.id))

    def _nudge(self) -> None:
        for name in self.controller.nudges(self.now_ms):
            host = self._by_name[name]
            self.at(
                self.deployment.trip_ms, functools.partial(self._report, host)
            )
        records = self.controller.targets.records
        states = bytes(record.state for record in records)
        if states != self._states:
            ejected = targetstate.TargetState.EJECTED
            for record, old in zip(
                records, self._states or states, strict=True
            ):
                if record.state is ejected and old != ejected:
                    self.ejections.append((self.now_ms, record.id))
            self._states = states
