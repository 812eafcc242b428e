"""Evidence that one host gathers about the targets of a service."""

import collections.abc
import dataclasses

import xxhash

from pomeloward import model
from pomeloward.service import baseline
from pomeloward.service import messages
from pomeloward.service import outcome as outcome_

_OUTCOME = outcome_.Outcome

# One sample counts at most this much, a factor of about 55.
_MAX_NATS = 4.0
_ROUTE_MASK = 0xFFFF
# Targets and routes told apart between two reports of 500 ms; a row is about
# 20 bytes. Beyond that, routes are no longer told apart.
_MAX_ROWS = 256
# A request under way counts once it takes this much longer than usual.
_OVERDUE_NATS = 1.0

_Key = tuple[model.TargetId, int]


@dataclasses.dataclass(slots=True)
class _Counts:
    count: int = 0
    errors: int = 0
    sheds: int = 0
    samples: int = 0
    centinats: int = 0


class EvidenceBook:
    """Counts per target since the last report; bounded by the targets.

    Failed connects are counted since the last success with the target, so
    that a single lost packet is no evidence after the next success.
    """

    def __init__(self) -> None:
        self._baseline = baseline.Baseline()
        self._counts: dict[_Key, _Counts] = {}
        self._failures: dict[model.TargetId, int] = {}

    def finish(
        self,
        target: model.TargetId,
        route: model.RouteId,
        outcome: outcome_.Outcome,
        latency_ms: float,
    ) -> None:
        """Take the end of a request.

        A cancelled request counts as a latency only if it already took
        longer than usual, since its full latency is unknown.
        """
        if outcome is _OUTCOME.CONNECT_FAILED:
            self._failures[target] = self._failures.get(target, 0) + 1
            return
        counts = self._counts.setdefault(self._key(target, route), _Counts())
        if outcome is _OUTCOME.SHED:
            counts.count += 1
            counts.sheds += 1
            return
        nats = self._baseline.excess(route, latency_ms)
        if outcome is _OUTCOME.CANCELLED:
            if nats is None or nats < _OVERDUE_NATS:
                return
        else:
            counts.count += 1
            self._failures.pop(target, None)
            self._baseline.learn(route, latency_ms)
        if outcome in (_OUTCOME.ERROR, _OUTCOME.TIMEOUT):
            counts.errors += 1
        if nats is not None:
            counts.samples += 1
            counts.centinats += round(
                100 * max(-_MAX_NATS, min(_MAX_NATS, nats))
            )

    def is_empty(self) -> bool:
        """Tell whether nothing was counted since the last report."""
        return not (self._counts or self._failures)

    def take(
        self,
        index: collections.abc.Mapping[model.TargetId, int],
        running: collections.abc.Iterable[
            tuple[model.TargetId, model.RouteId, float]
        ],
    ) -> tuple[messages.Evidence, ...]:
        """Return the evidence for a report, and start anew.

        ``running`` has target, route and age of the requests under way.
        """
        overdue: dict[_Key, tuple[int, float]] = {}
        for target, route, age_ms in running:
            nats = self._baseline.excess(route, age_ms)
            if nats is not None and nats >= _OVERDUE_NATS:
                key = self._key(target, route)
                count, total = overdue.get(key, (0, 0.0))
                overdue[key] = (count + 1, total + min(nats, _MAX_NATS))
        counts, self._counts = self._counts, {}
        failures, self._failures = self._failures, {}
        failed = {(target, 0): count for target, count in failures.items()}
        return tuple(
            self._evidence(
                index[key[0]],
                key[1],
                counts.get(key, _Counts()),
                failed.get(key, 0),
                overdue.get(key, (0, 0.0)),
            )
            for key in sorted(counts.keys() | failed.keys() | overdue.keys())
            if key[0] in index
        )

    def _key(self, target: model.TargetId, route: model.RouteId) -> _Key:
        if len(self._counts) >= _MAX_ROWS:
            return target, 0
        return target, xxhash.xxh32_intdigest(route.encode()) & _ROUTE_MASK

    @staticmethod
    def _evidence(
        index: int,
        route: int,
        counts: _Counts,
        failures: int,
        overdue: tuple[int, float],
    ) -> messages.Evidence:
        return messages.Evidence(
            index=index,
            route=route,
            count=counts.count,
            errors=counts.errors,
            sheds=counts.sheds,
            connect_failures=failures,
            samples=counts.samples,
            centinats=counts.centinats,
            running=overdue[0],
            running_centinats=round(100 * overdue[1]),
        )
