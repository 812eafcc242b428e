"""Tests of the request counts that a host publishes."""

import msgspec
import pytest

from pomeloward import observability
from pomeloward.observability import outcomecounter


def _encode_and_decode_sample(counter):
    payload = msgspec.json.encode(counter.sample("h1", 1))
    return msgspec.json.decode(payload, type=observability.OutcomeSample)


def test_sample_is_decoded_with_the_same_counts_and_latency():
    """Guards against a host that writes another format than is read."""
    counter = observability.OutcomeCounter()
    for latency_ms in (1.0, 2.0, 900_000.0, -1.0):
        counter.record("crew", "orders", "opuwo", True, latency_ms)
    counter.record("crew", "orders", None, False)
    sample = _encode_and_decode_sample(counter)
    counts = [(each.zone, each.good, each.bad) for each in sample.series]
    assert counts == [("opuwo", 4, 0), ("", 0, 1)]
    merged_latency = observability.MergedLatency([sample])
    slowest_ms = merged_latency.quantile_ms(("team", "crew"), 1.0)
    assert slowest_ms == pytest.approx(600_000.0, rel=0.01)


def test_series_and_histograms_of_many_teams_are_limited():
    """Guards against the memory of a histogram for each of 64,000 teams."""
    counter = observability.OutcomeCounter()
    for number in range(2 * outcomecounter.MAX_SERIES):
        counter.record(f"t{number}", "orders", "opuwo", True, 1.0)
    series = _encode_and_decode_sample(counter).series
    assert len(series) <= outcomecounter.MAX_SERIES + 1
    assert sum(each.good for each in series) == 2 * outcomecounter.MAX_SERIES
    series_with_histogram = [each for each in series if each.histogram]
    assert len(series_with_histogram) == outcomecounter.MAX_HISTOGRAMS
