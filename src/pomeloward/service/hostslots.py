"""Slots of one service on one host."""

import collections.abc
import random

from pomeloward import model
from pomeloward.service import avoidance
from pomeloward.service import evidencebook
from pomeloward.service import hint
from pomeloward.service import messages
from pomeloward.service import outcome as outcome_
from pomeloward.service import runs
from pomeloward.service import targetset
from pomeloward.service import tuning as tuning_


class HostSlots:
    """What a host may use of a service, by its controller's last answer.

    Only the answer to the latest report and epoch is applied.
    """

    def __init__(
        self,
        service: model.ServiceId,
        incarnation: int,
        tuning: tuning_.Tuning,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.evidence = evidencebook.EvidenceBook()
        self.waiting: dict[model.TeamId, int] = {}
        self.runs = runs.Runs()
        self._incarnation = incarnation
        self._tuning = tuning
        self._rng = rng
        self._avoidance = avoidance.Avoidance(rng)
        self._sequence = 0
        self._epoch = 0
        self._is_empty = False
        self._is_known_idle = False
        self._asked_ms = 0.0
        self._digest = 0
        self._index: dict[model.TargetId, int] = {}
        self._granted: dict[model.TargetId, int] = {}
        self._slots: dict[model.TargetId, int] = {}
        self._stopped: frozenset[model.TargetId] = frozenset()
        self._shunned: frozenset[model.TargetId] = frozenset()
        self._hint = hint.Hint()
        self._avoid_slots = 0
        self._reserve = 0
        self._permission = model.Lease(float("-inf"), 0.0)

    def configure(
        self,
        slots: collections.abc.Mapping[model.TargetId, int],
        stopped: collections.abc.Iterable[model.TargetId],
    ) -> None:
        """Take the targets' slots and those without new work."""
        self._slots = dict(slots)
        self._stopped = frozenset(stopped)

    def avoided(self, now_ms: float) -> frozenset[model.TargetId]:
        """Return the targets avoided by this host's own judgement."""
        return self._avoidance.active(self._slots, self._avoid_slots, now_ms)

    def has_loan(self, now_ms: float) -> bool:
        """Tell whether the loan of the slots has not lapsed."""
        return self._permission.is_valid(now_ms)

    def may_start(self, target: model.TargetId, now_ms: float) -> bool:
        """Tell whether a request that has a slot may be sent now."""
        return (
            self.has_loan(now_ms)
            and target not in self._stopped
            and self._granted.get(target, 0) > 0
        )

    def acquire(
        self,
        route: model.RouteId,
        team: model.TeamId,
        avoid: collections.abc.Set[model.TargetId],
        now_ms: float,
    ) -> tuple[int, model.TargetId] | None:
        """Take an idle slot; return the number of the run and its target."""
        if not self.has_loan(now_ms):
            return None
        out = self._stopped | self.avoided(now_ms)
        busy = self.runs.in_use
        idle = [
            (count - busy.get(target, 0), target)
            for target, count in self._granted.items()
            if count > busy.get(target, 0) and target not in out
        ]
        usable = [pair for pair in idle if pair[1] not in avoid]
        if not usable:
            if idle:
                self._shunned = frozenset(avoid)
            return None
        most = max(usable)[0]
        best = sorted(target for count, target in usable if count == most)
        target = self._rng.choice(best)
        return self.runs.start(target, route, team, now_ms), target

    def release(
        self,
        run: int,
        outcome: outcome_.Outcome,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """End a run and take its evidence."""
        target, route = self.runs.end(run, outcome, now_ms)
        self.evidence.finish(target, route, outcome, latency_ms)
        self._avoidance.note(target, outcome, now_ms)

    def unreachable(self, target: model.TargetId, now_ms: float) -> None:
        """Take a failed probe of a target."""
        outcome = outcome_.Outcome.CONNECT_FAILED
        self.evidence.finish(target, model.RouteId(""), outcome, 0.0)
        self._avoidance.note(target, outcome, now_ms)

    def is_short(self, now_ms: float) -> bool:
        """Tell whether there is demand that the slots do not meet."""
        return sum(self.waiting.values()) > self._idle(now_ms)

    def has_excess(self, now_ms: float) -> bool:
        """Tell whether there are idle slots to give back."""
        needed = sum(self.waiting.values()) + self._reserve
        return self._idle(now_ms) > needed

    def is_busy(self) -> bool:
        """Tell whether requests wait or run."""
        return bool(len(self.runs) or self.waiting)

    def is_idle(self) -> bool:
        """Tell whether the next report would say nothing, as the last did."""
        return (
            self._is_known_idle
            and not self._granted
            and not self.is_busy()
            and self.evidence.is_empty()
        )

    def report(self, now_ms: float) -> messages.Report:
        """Return the next report; idle slots that it leaves out are gone."""
        avoided = self.avoided(now_ms) | self._shunned
        self._give_up(avoided, now_ms)
        self._shunned = frozenset()
        self._sequence += 1
        self._asked_ms = now_ms
        held = {
            target: max(
                self._granted.get(target, 0), self.runs.in_use.get(target, 0)
            )
            for target in self._granted.keys() | self.runs.in_use.keys()
        }
        report = messages.Report(
            service=self.service,
            incarnation=self._incarnation,
            sequence=self._sequence,
            epoch=self._epoch,
            table=self._digest,
            held=self._indexed(held),
            demand=tuple(sorted(self._demand().items())),
            evidence=self.evidence.take(self._index, self.runs.ages(now_ms)),
            avoided=tuple(
                sorted(
                    self._index[one] for one in avoided & self._index.keys()
                )
            ),
        )
        self._is_known_idle = False
        self._is_empty = not (
            report.held or report.demand or report.evidence or report.avoided
        )
        return self._hint.attach(report, now_ms)

    def apply(self, answer: messages.Answer) -> bool:
        """Apply an answer; return whether to agree or give back at once."""
        if answer.sequence != self._sequence or answer.epoch < self._epoch:
            return False
        self._epoch = answer.epoch
        if answer.targets:
            self._take_table(answer.targets)
        self._hint.heard(answer, self._asked_ms)
        if not answer.is_agreed:
            return answer.epoch > 0
        self._is_known_idle = self._is_empty
        ids = list(self._index)
        earlier = self._granted
        self._granted = {ids[index]: count for index, count in answer.grants}
        self._permission = model.Lease(self._asked_ms, self._tuning.loan_ms)
        self._avoid_slots = answer.avoid_slots
        self._reserve = answer.reserve
        return any(
            count
            > max(self._granted.get(one, 0), self.runs.in_use.get(one, 0))
            for one, count in earlier.items()
        )

    def table(self) -> list[model.TargetId]:
        """Return the targets that indexes refer to."""
        return list(self._index)

    def _take_table(self, targets: tuple[model.TargetId, ...]) -> None:
        self._hint.reorder(self._index, targets)
        self._index = {target: index for index, target in enumerate(targets)}
        self._digest = targetset.table_digest(targets)

    def _demand(self) -> dict[model.TeamId, int]:
        demand = dict(self.waiting)
        for team in self.runs.teams():
            demand[team] = demand.get(team, 0) + 1
        return demand

    def _idle(self, now_ms: float) -> int:
        if not self.has_loan(now_ms):
            return 0
        return sum(
            max(0, count - self.runs.in_use.get(target, 0))
            for target, count in self._granted.items()
            if target not in self._shunned
        )

    def _give_up(
        self, avoided: frozenset[model.TargetId], now_ms: float
    ) -> None:
        """Drop idle slots beyond the demand and the reserve."""
        is_valid = self.has_loan(now_ms)
        keep = sum(self.waiting.values()) + self._reserve
        out = avoided | self._stopped
        for target, count in list(self._granted.items()):
            busy = self.runs.in_use.get(target, 0)
            idle = max(0, min(count - busy, keep))
            if not is_valid or target in out:
                idle = 0
            keep -= idle
            self._granted[target] = min(count, busy + idle)

    def _indexed(
        self, slots: collections.abc.Mapping[model.TargetId, int]
    ) -> tuple[tuple[int, int], ...]:
        return tuple(
            (self._index[target], count)
            for target, count in sorted(slots.items())
            if count and target in self._index
        )
