"""Latency of subjects, from histograms merged over hosts."""

import binascii
import collections.abc
import typing
import zlib

from hdrh import codec
from hdrh import histogram

from pomeloward import model
from pomeloward.observability import outcomehistory
from pomeloward.observability import outcomesample

# The range and precision of the hosts' histograms, in microseconds.
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
# A compressed histogram of this range takes a few kilobytes.
MAX_HISTOGRAM_CHARS = 200_000


class MergedLatency:
    """Merges the newest histograms of all hosts."""

    def __init__(
        self, samples: collections.abc.Iterable[outcomesample.OutcomeSample]
    ) -> None:
        self._merged: dict[outcomehistory.Subject, typing.Any] = {}
        for sample in samples:
            for series in sample.series:
                if series.histogram:
                    self._add(sample.host, series)

    def quantile_ms(
        self, subject: outcomehistory.Subject, quantile: float
    ) -> float | None:
        """Return a quantile, or None without a request."""
        merged = self._merged.get(subject)
        if merged is None or not merged.get_total_count():
            return None
        value_us: float = merged.get_value_at_percentile(quantile * 100)
        return value_us / 1_000

    def _add(
        self, host: model.HostId, series: outcomesample.OutcomeSeries
    ) -> None:
        found = _decode(host, series.histogram)
        for subject in outcomehistory.subjects(series):
            merged = self._merged.get(subject)
            if merged is None:
                merged = self._merged[subject] = histogram.HdrHistogram(
                    1, HIGHEST_US, SIGNIFICANT_DIGITS
                )
            merged.add(found)


def _decode(host: model.HostId, text: str) -> typing.Any:
    if len(text) > MAX_HISTOGRAM_CHARS:
        raise model.PomelowardError(f"{host}: a histogram is too long")
    try:
        found = histogram.HdrHistogram.decode(text)
    except (
        binascii.Error,
        zlib.error,
        TypeError,
        ValueError,
        IndexError,
        codec.HdrCookieException,
        codec.HdrHistogramSettingsException,
        codec.HdrLengthException,
    ) as error:
        raise model.PomelowardError(
            f"{host}: malformed histogram: {error}"
        ) from error
    if found.highest_trackable_value > HIGHEST_US:
        raise model.PomelowardError(f"{host}: a histogram has a wider range")
    return found
