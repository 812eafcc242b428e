"""Good and bad requests over time, added up over hosts."""

import bisect
import collections
import collections.abc
import typing

import msgspec

from pomeloward import model
from pomeloward.observability import outcomesample

# A dimension (team, service or zone) and a name in it.
Subject = tuple[str, str]


class RequestCounts(typing.NamedTuple):
    """Good and bad requests."""

    good: int
    bad: int


class CumulativeCounts(typing.NamedTuple):
    """All requests of a subject up to a time in seconds of the epoch."""

    at_s: float
    good: int
    bad: int


class _Stored(msgspec.Struct):
    last: list[outcomesample.OutcomeSample]
    points: list[tuple[Subject, list[CumulativeCounts]]]


class OutcomeHistory:
    """Turns the cumulative counts of hosts into counts of a window.

    A host that has restarted counts from zero again; requests between its
    last sample and its end are missing. The first sample of a host is only a
    base line, since its counts may be older than the history.
    """

    def __init__(self, dimensions: collections.abc.Container[str]) -> None:
        self._dimensions = dimensions
        self._last: dict[model.HostId, outcomesample.OutcomeSample] = {}
        self._points: dict[Subject, list[CumulativeCounts]] = (
            collections.defaultdict(list)
        )

    def add_sample(self, sample: outcomesample.OutcomeSample) -> None:
        """Take a sample; those of one host come in order of time."""
        last = self._last.get(sample.host)
        self._last[sample.host] = sample.without_histograms()
        before = {}
        if last is not None and last.incarnation == sample.incarnation:
            before = {_name(each): each for each in last.series}
        for series in sample.series:
            old = before.get(_name(series))
            good = series.good - (old.good if old else 0)
            bad = series.bad - (old.bad if old else 0)
            if last is None:
                good = bad = 0
            for subject in subjects(series):
                if subject[0] in self._dimensions:
                    self._append(subject, sample.at_s, good, bad)

    def subjects(self) -> list[Subject]:
        """Return every team, service and zone, in order."""
        return sorted(self._points)

    def counts_in_window(
        self, subject: Subject, window_s: float, now_s: float
    ) -> RequestCounts:
        """Return the requests of the last ``window_s`` seconds."""
        points = self._points[subject]
        start = bisect.bisect_right(points, now_s - window_s, key=_time)
        end = bisect.bisect_right(points, now_s, key=_time)
        if end == 0:
            return RequestCounts(0, 0)
        before = points[start - 1] if start else CumulativeCounts(0.0, 0, 0)
        after = points[end - 1]
        return RequestCounts(after.good - before.good, after.bad - before.bad)

    def prune_before(self, at_s: float) -> None:
        """Drop points that no window begins after."""
        for points in self._points.values():
            first = bisect.bisect_right(points, at_s, key=_time)
            del points[: max(0, first - 1)]

    def dump(self) -> bytes:
        """Return the history for a file."""
        stored = _Stored(list(self._last.values()), list(self._points.items()))
        return msgspec.json.encode(stored)

    def restore(self, payload: bytes) -> None:
        """Take a dumped history; raises ``PomelowardError``."""
        try:
            stored = msgspec.json.decode(payload, type=_Stored)
        except (msgspec.MsgspecError, UnicodeError) as error:
            raise model.PomelowardError(
                f"malformed history: {error}"
            ) from error
        self._last = {sample.host: sample for sample in stored.last}
        for subject, points in stored.points:
            if subject[0] in self._dimensions:
                self._points[subject] = points

    def _append(
        self, subject: Subject, at_s: float, good: int, bad: int
    ) -> None:
        points = self._points[subject]
        if good <= 0 and bad <= 0:
            return
        last = points[-1] if points else CumulativeCounts(at_s, 0, 0)
        # Samples of different hosts may be taken a little out of order.
        points.append(
            CumulativeCounts(
                max(at_s, last.at_s),
                last.good + max(0, good),
                last.bad + max(0, bad),
            )
        )


def _time(point: CumulativeCounts) -> float:
    return point.at_s


def subjects(series: outcomesample.OutcomeSeries) -> tuple[Subject, ...]:
    """Return the subjects that a series counts for."""
    named = (
        ("service", series.service),
        ("team", series.team),
        ("zone", series.zone),
    )
    return tuple(subject for subject in named if subject[1])


def _name(series: outcomesample.OutcomeSeries) -> tuple[str, str, str]:
    return series.team, series.service, series.zone
