"""The controller of one service in one region."""

import random

import msgspec

from pomeloward import catalog
from pomeloward import model
from pomeloward.service import demand
from pomeloward.service import handover
from pomeloward.service import ledger as ledger_
from pomeloward.service import lending
from pomeloward.service import messages
from pomeloward.service import predecessor
from pomeloward.service import probing
from pomeloward.service import targetset
from pomeloward.service import tuning as tuning_


class Controller:
    """Lends a service's slots to the hosts that report.

    It is pure: reports come in with a time, answers go out, and ``nudges``
    names the hosts that should report at once.
    """

    def __init__(
        self,
        service: model.ServiceId,
        region: model.RegionId,
        epoch: model.Epoch,
        tuning: tuning_.Tuning,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.epoch = epoch
        self.targets = targetset.TargetSet(tuning, rng)
        self.ledger = ledger_.Ledger(tuning.loan_ms, tuning.hold_ms)
        self._region = region
        self._tuning = tuning
        self._rng = rng
        self._demand = demand.DemandBook()
        self._probing = probing.Probing(tuning)
        self._predecessor: predecessor.Predecessor | None = None
        self._view: catalog.View | None = None
        self._version = model.Version(0)
        self._is_started = False

    def start(
        self, view: catalog.View, state: bytes | None, now_ms: float
    ) -> None:
        """Begin with a predecessor's state, or with what can be proved."""
        self.configure(view, now_ms)
        self._is_started = True
        if state is not None:
            handed = msgspec.msgpack.decode(state, type=handover.Handover)
            handed.restore(self.targets.records, self.ledger, now_ms)
            return
        hosts = [
            host.id for host in view.hosts() if host.region == self._region
        ]
        self._predecessor = predecessor.Predecessor(
            self._tuning, hosts, now_ms
        )

    def export(self, now_ms: float) -> bytes:
        """Return the state for a successor."""
        self.ledger.expire(now_ms)
        return msgspec.msgpack.encode(
            handover.Handover.of(self.targets.records, self.ledger, now_ms)
        )

    def configure(self, view: catalog.View, now_ms: float) -> None:
        """Take a configuration; stopped targets get no loan from now on."""
        self._view = view
        self._version = view.version
        service = view.service(self.service)
        if service is not None:
            self.targets.configure(
                view,
                service,
                self._region,
                now_ms,
                is_first=not self._is_started,
            )

    def tick(self, now_ms: float) -> None:
        """Let loans lapse, judge targets and move them through states."""
        self.ledger.expire(now_ms)
        waiting = self._predecessor
        if waiting is not None and waiting.is_over(now_ms):
            waiting.settle(self.targets.records, now_ms)
            self._predecessor = None
        self.targets.tick(now_ms)

    def report(
        self, host: model.HostId, report: messages.Report, now_ms: float
    ) -> messages.Answer | None:
        """Take a report and answer it, or drop one that comes out of order."""
        self.tick(now_ms)
        if not self._demand.accepts(host, report):
            return None
        is_known = report.table == self.targets.digest
        if report.epoch != self.epoch or not is_known:
            return messages.Answer(
                epoch=self.epoch,
                sequence=report.sequence,
                is_agreed=False,
                clock_ms=now_ms,
                targets=() if is_known else self.targets.ids(),
            )
        ids = self.targets.ids()
        held = {ids[index]: count for index, count in report.held}
        if self._predecessor is not None:
            self._join(self._predecessor, host, report, held, now_ms)
        self._observe(host, report, now_ms)
        self._demand.update(host, report, ids, now_ms)
        grants, reserve = self._lend(host, held, now_ms)
        return messages.Answer(
            epoch=self.epoch,
            sequence=report.sequence,
            is_agreed=True,
            clock_ms=now_ms,
            version=self._version,
            grants=tuple(
                (index, grants[target])
                for index, target in enumerate(ids)
                if target in grants
            ),
            states=bytes(record.state for record in self.targets.records),
            avoid_slots=self.targets.lend_avoidance(now_ms),
            reserve=reserve,
            probes=self._probing.choose(self.targets.records, now_ms),
        )

    def nudges(self, now_ms: float) -> list[model.HostId]:
        """Return the hosts that should report now, to get or give slots."""
        records = self.targets.records
        stopped = {record.id for record in records if not record.cap()}
        holders = [
            host
            for host in (self.ledger.hosts() if stopped else ())
            if not stopped.isdisjoint(self.ledger.held(host))
        ]
        return self._demand.nudges(
            lambda: self._lending(now_ms).free(), holders, now_ms
        )

    def _weight(self, team: model.TeamId) -> float:
        entry = self._view.team(team) if self._view is not None else None
        return entry.weight if entry is not None else 1.0

    def _lending(self, now_ms: float) -> lending.Lending:
        return lending.Lending(
            self.targets.records,
            self.ledger,
            self.targets.shares,
            self.targets.suspects(now_ms),
        )

    def _lend(
        self,
        host: model.HostId,
        held: dict[model.TargetId, int],
        now_ms: float,
    ) -> tuple[dict[model.TargetId, int], int]:
        """Return the slots a host may use, and idle ones among them.

        What the host holds above its grant counts until it is reported back.
        """
        self.ledger.set(host, held, now_ms)
        goal, reserve = self._demand.goal(
            host, self.targets.capacity(), self._weight, now_ms
        )
        grants = self._lending(now_ms).choose(
            held, self._demand.avoided(host), goal, self._rng
        )
        upper = {
            target: max(held.get(target, 0), grants.get(target, 0))
            for target in held.keys() | grants.keys()
        }
        self.ledger.set(host, upper, now_ms)
        self._demand.granted(host, sum(grants.values()))
        return grants, reserve

    def _join(
        self,
        waiting: predecessor.Predecessor,
        host: model.HostId,
        report: messages.Report,
        held: dict[model.TargetId, int],
        now_ms: float,
    ) -> None:
        if not self._demand.join(host):
            return
        records = self.targets.records
        for record in records:
            record.adopted += held.get(record.id, 0)
        age_ms = report.states_age_ms + now_ms - report.echo_ms
        is_current = report.states_version == self._version
        states = report.states if is_current else b""
        for record in waiting.join(host, records, states, age_ms, now_ms):
            self.targets.try_eject(record, now_ms)

    def _observe(
        self, host: model.HostId, report: messages.Report, now_ms: float
    ) -> None:
        for record in self.targets.records:
            record.window.clear_running(host)
        for evidence in report.evidence:
            record = self.targets.records[evidence.index]
            record.observe(host, evidence, now_ms)
            self._probing.note(record.id, now_ms)
