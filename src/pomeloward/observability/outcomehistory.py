"""Counts of good and bad requests over time, summed over all hosts."""

import bisect
import collections
import collections.abc
import typing

import msgspec

from pomeloward import model
from pomeloward.observability import outcomesample

# What is counted: a dimension (team, service or zone) and a name in it.
Subject = tuple[str, str]


class RequestCounts(typing.NamedTuple):
    """Numbers of good and bad requests."""

    good: int
    bad: int


class CumulativeCounts(typing.NamedTuple):
    """A subject's requests until ``at_s``, in seconds since the epoch."""

    at_s: float
    good: int
    bad: int


class _StoredHistory(msgspec.Struct):
    """The history as it is written to a file."""

    # The newest sample of each host.
    last: list[outcomesample.OutcomeSample]
    # The cumulative counts of each subject, in order of time.
    points: list[tuple[Subject, list[CumulativeCounts]]]


class OutcomeHistory:
    """Computes counts in a time window from hosts' cumulative counts.

    A restarted host counts from zero again; requests between its last sample
    and the restart are missing. The first sample of a host is only a
    baseline, because its counts may be older than the history.
    """

    def __init__(self, dimensions: collections.abc.Container[str]) -> None:
        self._dimensions = dimensions
        self._last_samples: dict[
            model.HostId, outcomesample.OutcomeSample
        ] = {}
        self._cumulative_counts: dict[Subject, list[CumulativeCounts]] = (
            collections.defaultdict(list)
        )

    def add_sample(self, sample: outcomesample.OutcomeSample) -> None:
        """Add a sample; samples of one host must come in order of time."""
        previous_sample = self._last_samples.get(sample.host)
        self._last_samples[sample.host] = sample.without_histograms()
        previous_series = {}
        if (
            previous_sample is not None
            and previous_sample.incarnation == sample.incarnation
        ):
            previous_series = {
                _series_key(each): each for each in previous_sample.series
            }
        for series in sample.series:
            previous = previous_series.get(_series_key(series))
            new_good = series.good - (previous.good if previous else 0)
            new_bad = series.bad - (previous.bad if previous else 0)
            if previous_sample is None:
                new_good = new_bad = 0
            for subject in subjects_of_series(series):
                if subject[0] in self._dimensions:
                    self._append_counts(
                        subject, sample.at_s, new_good, new_bad
                    )

    def subjects(self) -> list[Subject]:
        """Return all counted teams, services and zones, sorted."""
        return sorted(self._cumulative_counts)

    def counts_in_window(
        self, subject: Subject, window_s: float, now_s: float
    ) -> RequestCounts:
        """Return the counts of the ``window_s`` seconds before ``now_s``."""
        points = self._cumulative_counts[subject]
        start = bisect.bisect_right(points, now_s - window_s, key=_at_s)
        end = bisect.bisect_right(points, now_s, key=_at_s)
        if end == 0:
            return RequestCounts(0, 0)
        at_start = points[start - 1] if start else CumulativeCounts(0.0, 0, 0)
        at_end = points[end - 1]
        return RequestCounts(
            at_end.good - at_start.good, at_end.bad - at_start.bad
        )

    def prune_before(self, at_s: float) -> None:
        """Delete the counts before ``at_s``, except the newest of them.

        A window that starts at ``at_s`` needs the newest as its baseline.
        """
        for points in self._cumulative_counts.values():
            first_after = bisect.bisect_right(points, at_s, key=_at_s)
            del points[: max(0, first_after - 1)]

    def dump(self) -> bytes:
        """Return the history as JSON, for ``restore``."""
        stored = _StoredHistory(
            list(self._last_samples.values()),
            list(self._cumulative_counts.items()),
        )
        return msgspec.json.encode(stored)

    def restore(self, payload: bytes) -> None:
        """Load the result of ``dump``; malformed data is an error.

        Raises ``PomelowardError``.
        """
        try:
            stored = msgspec.json.decode(payload, type=_StoredHistory)
        except (msgspec.MsgspecError, UnicodeError) as error:
            raise model.PomelowardError(
                f"malformed history: {error}"
            ) from error
        self._last_samples = {sample.host: sample for sample in stored.last}
        for subject, points in stored.points:
            if subject[0] in self._dimensions:
                self._cumulative_counts[subject] = points

    def _append_counts(
        self, subject: Subject, at_s: float, new_good: int, new_bad: int
    ) -> None:
        points = self._cumulative_counts[subject]
        if new_good <= 0 and new_bad <= 0:
            return
        newest = points[-1] if points else CumulativeCounts(at_s, 0, 0)
        # Samples of different hosts may arrive slightly out of order.
        points.append(
            CumulativeCounts(
                max(at_s, newest.at_s),
                newest.good + max(0, new_good),
                newest.bad + max(0, new_bad),
            )
        )


def _at_s(point: CumulativeCounts) -> float:
    return point.at_s


def subjects_of_series(
    series: outcomesample.OutcomeSeries,
) -> tuple[Subject, ...]:
    """Return the service, team and zone of a series, without empty names."""
    candidates = (
        ("service", series.service),
        ("team", series.team),
        ("zone", series.zone),
    )
    return tuple(subject for subject in candidates if subject[1])


def _series_key(series: outcomesample.OutcomeSeries) -> tuple[str, str, str]:
    return series.team, series.service, series.zone
