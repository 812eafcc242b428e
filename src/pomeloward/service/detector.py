"""Finds gray and cold targets among a service's targets."""

import collections.abc
import enum
import statistics

from pomeloward import model
from pomeloward.service import outlier
from pomeloward.service import routeeffect
from pomeloward.service import targetrecord
from pomeloward.service import targetstate
from pomeloward.service import tuning as tuning_
from pomeloward.service import window

_STATE = targetstate.TargetState
_Records = collections.abc.Sequence[targetrecord.TargetRecord]

# A host that fails to connect to more of the targets than this is more
# likely cut off itself, and is no witness against one target.
_CREDIBLE_RATIO = 0.34
# Sheds in a window, and their excess over other targets' ratio, that show a
# target which fell back to cold.
_MIN_SHEDS = 2
_SHED_RATIO = 0.2


class Finding(enum.Enum):
    """What the evidence says about a target."""

    FINE = "fine"
    FELL = "fell"
    GRAY = "gray"


class Detector:
    """Judges warm and cold targets by passive evidence.

    A finding needs several evaluations in a row, so that one burst of slow
    answers does not decide; failed connects of two hosts decide at once.
    """

    def __init__(self, tuning: tuning_.Tuning) -> None:
        self._tuning = tuning
        self._streaks: dict[model.TargetId, int] = {}

    def reference(self, records: _Records, now_ms: float) -> float | None:
        """Return the usual mean log latency of warm targets, in nats."""
        warm = [each for each in records if each.state is _STATE.WARM]
        span_ms = max(self._tuning.windows_ms)
        return self._median(warm, self._tuning.min_count, span_ms, now_ms)

    def recent(self, records: _Records, now_ms: float) -> float | None:
        """Return the mean log latency of serving targets of late, in nats.

        Heavy requests that reach all targets at once must not look like
        slow targets, so the interval is as short as that of slow start.
        """
        serving = [each for each in records if each.is_serving]
        return self._median(serving, 1, self._tuning.ramp_ms, now_ms)

    def _median(
        self,
        records: _Records,
        min_count: int,
        interval_ms: float,
        now_ms: float,
    ) -> float | None:
        means = []
        for record in records:
            sums = record.window.sums(interval_ms, now_ms)
            if sums.samples >= min_count:
                means.append(sums.nats / sums.samples)
        if len(means) < self._tuning.min_peers:
            return None
        return statistics.median(means)

    def judge(
        self, records: _Records, now_ms: float
    ) -> list[tuple[targetrecord.TargetRecord, Finding]]:
        """Return the targets that are gray or fell back to cold."""
        judged = [
            record
            for record in records
            if record.state in (_STATE.WARM, _STATE.COLD)
        ]
        worst: dict[model.TargetId, Finding] = {}
        span_ms = max(self._tuning.windows_ms)
        spans = [record.window.sums(span_ms, now_ms) for record in judged]
        effect = routeeffect.RouteEffect(spans)
        for interval_ms in self._tuning.windows_ms:
            sums = []
            for record, span in zip(judged, spans, strict=True):
                own = record.window.sums(interval_ms, now_ms)
                own.nats = effect.adjusted_nats(own, span)
                sums.append(own)
            self._judge_interval(judged, sums, worst)
        unreachable = self._unreachable(judged, now_ms)
        self._streaks = {
            target: self._streaks.get(target, 0) + 1 for target in worst
        }
        findings = []
        for record in judged:
            streak = self._streaks.get(record.id, 0)
            if record.id in unreachable:
                findings.append((record, Finding.GRAY))
            elif streak >= self._tuning.confirmations:
                findings.append((record, worst[record.id]))
        return findings

    def _judge_interval(
        self,
        judged: _Records,
        sums: list[window.Sums],
        worst: dict[model.TargetId, Finding],
    ) -> None:
        means = [own.nats / own.samples for own in sums if own.samples]
        limit = self._tuning.fall_nats + (
            statistics.median(means) if means else 0.0
        )
        for place, record in enumerate(judged):
            own = sums[place]
            is_slow = own.samples > 0 and own.nats / own.samples >= limit
            if not is_slow and not own.errors and not own.sheds:
                continue
            others = sums[:place] + sums[place + 1 :]
            finding = self._judge_one(record, own, others)
            if finding is not Finding.FINE and (
                worst.get(record.id) is not Finding.GRAY
            ):
                worst[record.id] = finding

    def _judge_one(
        self,
        record: targetrecord.TargetRecord,
        own: window.Sums,
        others: list[window.Sums],
    ) -> Finding:
        excess = outlier.latency_excess(own, others, self._tuning)
        if excess >= self._tuning.min_nats:
            return Finding.GRAY
        if outlier.has_error_excess(own, others, self._tuning):
            return Finding.GRAY
        if record.state is not _STATE.WARM:
            return Finding.FINE
        is_shedding = own.sheds >= _MIN_SHEDS and (
            _shed_ratio(own) - _usual_shed_ratio(others) >= _SHED_RATIO
        )
        return Finding.FELL if excess or is_shedding else Finding.FINE

    def _unreachable(
        self, judged: _Records, now_ms: float
    ) -> set[model.TargetId]:
        span_ms = max(self._tuning.windows_ms)
        failing = {
            record.id: record.window.failing_hosts(span_ms, now_ms)
            for record in judged
        }
        targets: dict[model.HostId, int] = {}
        for hosts in failing.values():
            for host in hosts:
                targets[host] = targets.get(host, 0) + 1
        limit = max(2.0, _CREDIBLE_RATIO * len(judged))
        return {
            target
            for target, hosts in failing.items()
            if sum(targets[host] <= limit for host in hosts) > 1
        }


def _shed_ratio(sums: window.Sums) -> float:
    return sums.sheds / max(1, sums.count)


def _usual_shed_ratio(others: list[window.Sums]) -> float:
    ratios = [_shed_ratio(sums) for sums in others if sums.count]
    return statistics.median(ratios) if ratios else 0.0
