"""The targets of a service and their way through the states."""

import collections.abc
import random

import xxhash

from pomeloward import catalog
from pomeloward import model
from pomeloward.service import detector
from pomeloward.service import floor
from pomeloward.service import targetrecord
from pomeloward.service import targetstate
from pomeloward.service import tuning as tuning_

_STATE = targetstate.TargetState


def table_digest(targets: collections.abc.Iterable[model.TargetId]) -> int:
    """Return the digest by which host and controller compare tables."""
    return xxhash.xxh32_intdigest("\n".join(targets).encode())


class TargetSet:
    """All configured targets; ejects gray ones and never below the floor."""

    def __init__(self, tuning: tuning_.Tuning, rng: random.Random) -> None:
        self.records: list[targetrecord.TargetRecord] = []
        self.shares: dict[model.SiteId, float] = {}
        self.digest = 0
        self._tuning = tuning
        self._rng = rng
        self._detector = detector.Detector(tuning)
        self._floor_ratio = 0.0
        self._evaluated_ms = float("-inf")
        self._avoid_until_ms: dict[int, float] = {}

    def ids(self) -> tuple[model.TargetId, ...]:
        """Return the table of targets that indexes refer to."""
        return tuple(record.id for record in self.records)

    def suspects(self, now_ms: float) -> frozenset[model.TargetId]:
        """Return the targets that are the last choice now."""
        return frozenset(
            record.id
            for record in self.records
            if record.suspicion.is_active(now_ms)
        )

    def capacity(self) -> int:
        """Return the slots that may be in use now."""
        return sum(record.cap() for record in self.records)

    def configure(
        self,
        view: catalog.View,
        service: catalog.Service,
        region: model.RegionId,
        now_ms: float,
        *,
        is_first: bool,
    ) -> None:
        """Take targets, zones, sites and the floor from a configuration.

        Targets that are new to a running controller start cold.
        """
        self._floor_ratio = service.floor_ratio
        self.shares = dict(view.shares(service.id))
        known = {record.id: record for record in self.records}
        self.records = []
        for target in sorted(
            view.targets(service.id), key=lambda target: target.id
        ):
            zone = view.zone(target.zone)
            if zone is not None and zone.region != region:
                continue
            slots = target.slots or service.slots_per_target
            record = known.get(target.id)
            if record is None:
                record = targetrecord.TargetRecord(target, slots, self._tuning)
                if not is_first:
                    record.fall(now_ms)
            record.target = target
            record.slots = slots
            self._exclude(record, zone, now_ms)
            self.records.append(record)
        if is_first:
            slots = floor.most_avoid_slots(self.records, self._floor_ratio)
            self._avoid_until_ms[slots] = now_ms + self._tuning.loan_wait_ms
        self.digest = table_digest(self.ids())
        self._keep_floor(now_ms)

    def tick(self, now_ms: float) -> None:
        """Judge targets and move them through their states."""
        if now_ms - self._evaluated_ms < self._tuning.evaluate_ms:
            return
        self._evaluated_ms = now_ms
        for record, finding in self._detector.judge(self.records, now_ms):
            if finding is detector.Finding.FELL:
                record.fall(now_ms)
            else:
                self.try_eject(record, now_ms)
        reference = self._detector.reference(self.records, now_ms)
        recent = self._detector.recent(self.records, now_ms)
        for record in self.records:
            self._advance(record, reference, recent, now_ms)
            if record.is_serving:
                sums = record.window.sums(
                    self._tuning.suspect_interval_ms, now_ms
                )
                record.suspicion.update(sums, recent, now_ms)
        self._keep_floor(now_ms)

    def try_eject(
        self, record: targetrecord.TargetRecord, now_ms: float
    ) -> None:
        """Eject a target unless that would break the floor."""
        self._avoid_until_ms = {
            slots: until_ms
            for slots, until_ms in self._avoid_until_ms.items()
            if now_ms < until_ms
        }
        avoided = max(self._avoid_until_ms, default=0)
        if floor.may_eject(record, self.records, self._floor_ratio, avoided):
            record.eject(now_ms, self._rng)

    def lend_avoidance(self, now_ms: float) -> int:
        """Return how many slots a host may avoid by its own judgement.

        Until the loan has lapsed, ejections leave that many slots more.
        """
        slots = floor.avoid_slots(self.records, self._floor_ratio)
        self._avoid_until_ms[slots] = now_ms + self._tuning.loan_wait_ms
        return slots

    def _exclude(
        self,
        record: targetrecord.TargetRecord,
        zone: catalog.Zone | None,
        now_ms: float,
    ) -> None:
        """Keep new work from targets that leave, or are out by zone or site.

        A target that comes back starts cold.
        """
        target = record.target
        share = self.shares.get(target.site, 0.0) if self.shares else 1.0
        state = None
        if target.is_leaving:
            state = _STATE.LEAVING
        elif (zone is not None and zone.is_out) or share <= 0.0:
            state = _STATE.OUT
        if state is not None and record.state is not state:
            record.change(state, now_ms)
        elif state is None and record.state.is_excluded:
            record.change(_STATE.COLD, now_ms)

    def _advance(
        self,
        record: targetrecord.TargetRecord,
        reference: float | None,
        recent: float | None,
        now_ms: float,
    ) -> None:
        if record.state is _STATE.COLD:
            sums = record.window.sums(self._tuning.ramp_ms, now_ms)
            # Without enough warm targets the usual latency that hosts know
            # of the route is the reference.
            excess = 0.0
            if sums.samples:
                excess = sums.nats / sums.samples - (recent or 0.0)
            record.ramp(excess, now_ms)
        elif record.state is _STATE.EJECTED and now_ms >= record.until_ms:
            span_ms = max(self._tuning.windows_ms)
            if record.window.failing_hosts(span_ms, now_ms):
                record.until_ms = now_ms + span_ms
            else:
                record.start_trial(now_ms)
        elif record.state is _STATE.TRIAL:
            has_passed = record.trial_result(reference, now_ms)
            if has_passed:
                record.change(_STATE.COLD, now_ms)
            elif has_passed is False:
                self.try_eject(record, now_ms)

    def _keep_floor(self, now_ms: float) -> None:
        """Give ejected targets a trial early when the floor needs them."""
        need = self._floor_ratio * floor.capacity(self.records)
        ejected = [
            record for record in self.records if record.state is _STATE.EJECTED
        ]
        ejected.sort(key=lambda record: record.until_ms)
        for record in ejected:
            if floor.serving(self.records) >= need:
                return
            record.start_trial(now_ms)
