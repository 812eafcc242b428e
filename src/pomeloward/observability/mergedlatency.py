"""Latency quantiles of the whole fleet, from the histograms of hosts."""

import binascii
import collections.abc
import typing
import zlib

from hdrh import codec
from hdrh import histogram

from pomeloward import model
from pomeloward.observability import outcomehistory
from pomeloward.observability import outcomesample

# The range and precision of the histograms of all hosts.
HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
# A compressed histogram with this range takes a few kilobytes.
MAX_ENCODED_CHARS = 200_000


class MergedLatency:
    """Latency histograms of each team, service and zone over all hosts."""

    def __init__(
        self, samples: collections.abc.Iterable[outcomesample.OutcomeSample]
    ) -> None:
        """Merge the histograms of samples, one sample of each host."""
        self._histograms: dict[outcomehistory.Subject, typing.Any] = {}
        for sample in samples:
            for series in sample.series:
                if series.histogram:
                    self._merge(sample.host, series)

    def quantile_ms(
        self, subject: outcomehistory.Subject, quantile: float
    ) -> float | None:
        """Return a quantile (0 to 1), or None if there was no request."""
        merged = self._histograms.get(subject)
        if merged is None or not merged.get_total_count():
            return None
        value_us: float = merged.get_value_at_percentile(quantile * 100)
        return value_us / 1_000

    def _merge(
        self, host: model.HostId, series: outcomesample.OutcomeSeries
    ) -> None:
        decoded = _decode_histogram(host, series.histogram)
        for subject in outcomehistory.subjects_of_series(series):
            merged = self._histograms.get(subject)
            if merged is None:
                merged = self._histograms[subject] = histogram.HdrHistogram(
                    1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
                )
            merged.add(decoded)


def _decode_histogram(host: model.HostId, encoded: str) -> typing.Any:
    if len(encoded) > MAX_ENCODED_CHARS:
        raise model.PomelowardError(
            f"{host}: histogram is longer than {MAX_ENCODED_CHARS} characters"
        )
    try:
        decoded = histogram.HdrHistogram.decode(encoded)
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
    if decoded.highest_trackable_value > HIGHEST_LATENCY_US:
        raise model.PomelowardError(
            f"{host}: histogram range exceeds {HIGHEST_LATENCY_US} us"
        )
    return decoded
