"""Counts the good and bad answers of one host, for burn rates."""

import typing

from hdrh import histogram

from pomeloward import model
from pomeloward.observability import mergedlatency
from pomeloward.observability import outcomesample

# A histogram takes 30 kB of memory and 0.12 ms to encode.
MAX_HISTOGRAMS = 64
# The counts of a series take 200 bytes of memory.
MAX_SERIES = 4_096

# Team, service and zone; empty where not known.
_SeriesKey = tuple[str, str, str]


class OutcomeCounter:
    """Counts outcomes by team, service and zone of the target.

    Once there are ``MAX_SERIES`` series, a request that would need another
    one is counted without its team, so that the counts of services and zones
    stay complete. Only the first ``MAX_HISTOGRAMS`` series with a latency
    have a histogram.

    Example::

        counter.record(team, service, zone, is_good=True, latency_ms=12.5)
        counter.sample(host, incarnation)  # For /.pomeloward/histograms.
    """

    def __init__(self) -> None:
        self._good_and_bad: dict[_SeriesKey, list[int]] = {}
        self._histograms: dict[_SeriesKey, typing.Any] = {}

    def record(
        self,
        team: model.TeamId | None,
        service: model.ServiceId,
        zone: model.ZoneId | None,
        is_good: bool,
        latency_ms: float | None = None,
    ) -> None:
        """Count an answer, or a refusal, which has no latency."""
        series_key = (team or "", service, zone or "")
        if (
            series_key not in self._good_and_bad
            and len(self._good_and_bad) >= MAX_SERIES
        ):
            series_key = ("", service, zone or "")
        counts = self._good_and_bad.setdefault(series_key, [0, 0])
        counts[0 if is_good else 1] += 1
        if latency_ms is not None:
            self._record_latency(series_key, latency_ms)

    def sample(
        self, host: model.HostId, incarnation: int
    ) -> outcomesample.OutcomeSample:
        """Return the counts and histograms since the process started."""
        return outcomesample.OutcomeSample(
            host,
            incarnation,
            tuple(
                outcomesample.OutcomeSeries(
                    *series_key,
                    good=good,
                    bad=bad,
                    histogram=self._encoded_histogram(series_key),
                )
                for series_key, (good, bad) in self._good_and_bad.items()
            ),
        )

    def _record_latency(
        self, series_key: _SeriesKey, latency_ms: float
    ) -> None:
        latency_histogram = self._histograms.get(series_key)
        if latency_histogram is None:
            if len(self._histograms) >= MAX_HISTOGRAMS:
                return
            latency_histogram = self._histograms[series_key] = (
                histogram.HdrHistogram(
                    1,
                    mergedlatency.HIGHEST_LATENCY_US,
                    mergedlatency.SIGNIFICANT_DIGITS,
                )
            )
        latency_us = int(latency_ms * 1_000)
        latency_histogram.record_value(
            min(max(1, latency_us), mergedlatency.HIGHEST_LATENCY_US)
        )

    def _encoded_histogram(self, series_key: _SeriesKey) -> str:
        latency_histogram = self._histograms.get(series_key)
        if latency_histogram is None:
            return ""
        encoded: bytes = latency_histogram.encode()
        return encoded.decode("ascii")
