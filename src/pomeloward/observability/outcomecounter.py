"""Counts the good and bad answers of one host for its burn rates."""

import typing

from hdrh import histogram

from pomeloward import model
from pomeloward.observability import mergedlatency
from pomeloward.observability import outcomesample

# 30 kB and 0.12 ms to encode for each histogram; 200 bytes for each count.
MAX_HISTOGRAMS = 64
MAX_SERIES = 4_096

_Name = tuple[str, str, str]


class OutcomeCounter:
    """Counts by team, service and zone of the target.

    Further teams are counted without their name once there are
    ``MAX_SERIES``, and further series have no histogram beyond
    ``MAX_HISTOGRAMS``: services and zones stay complete.

    Example::

        meter.record(team, service, zone, is_good=True, latency_ms=12.5)
        meter.sample(host, incarnation)  # For /.pomeloward/histograms.
    """

    def __init__(self) -> None:
        self._counts: dict[_Name, list[int]] = {}
        self._histograms: dict[_Name, typing.Any] = {}

    def record(
        self,
        team: model.TeamId | None,
        service: model.ServiceId,
        zone: model.ZoneId | None,
        is_good: bool,
        latency_ms: float | None = None,
    ) -> None:
        """Count an answer or refusal; refusals have no latency."""
        name = (team or "", service, zone or "")
        if name not in self._counts and len(self._counts) >= MAX_SERIES:
            name = ("", service, zone or "")
        counts = self._counts.setdefault(name, [0, 0])
        counts[0 if is_good else 1] += 1
        if latency_ms is not None:
            self._observe(name, latency_ms)

    def sample(
        self, host: model.HostId, incarnation: int
    ) -> outcomesample.OutcomeSample:
        """Return all counts since the start of the process."""
        return outcomesample.OutcomeSample(
            host,
            incarnation,
            tuple(
                outcomesample.OutcomeSeries(
                    *name, good=good, bad=bad, histogram=self._encoded(name)
                )
                for name, (good, bad) in self._counts.items()
            ),
        )

    def _observe(self, name: _Name, latency_ms: float) -> None:
        found = self._histograms.get(name)
        if found is None:
            if len(self._histograms) >= MAX_HISTOGRAMS:
                return
            found = self._histograms[name] = histogram.HdrHistogram(
                1, mergedlatency.HIGHEST_US, mergedlatency.SIGNIFICANT_DIGITS
            )
        latency_us = int(latency_ms * 1_000)
        found.record_value(min(max(1, latency_us), mergedlatency.HIGHEST_US))

    def _encoded(self, name: _Name) -> str:
        found = self._histograms.get(name)
        if found is None:
            return ""
        encoded: bytes = found.encode()
        return encoded.decode("ascii")
