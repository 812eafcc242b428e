"""Tests of the counts that a host offers."""

import msgspec
import pytest

from pomeloward import observability
from pomeloward.observability import outcomecounter


def _read(meter):
    payload = msgspec.json.encode(meter.sample("h1", 1))
    return msgspec.json.decode(payload, type=observability.OutcomeSample)


def test_sample_is_what_the_report_reads():
    """Guards against a host and a report of different forms."""
    meter = observability.OutcomeCounter()
    for latency_ms in (1.0, 2.0, 900_000.0, -1.0):
        meter.record("crew", "orders", "opuwo", True, latency_ms)
    meter.record("crew", "orders", None, False)
    sample = _read(meter)
    counts = [(each.zone, each.good, each.bad) for each in sample.series]
    assert counts == [("opuwo", 4, 0), ("", 0, 1)]
    latency = observability.MergedLatency([sample])
    slowest = latency.quantile_ms(("team", "crew"), 1.0)
    assert slowest == pytest.approx(600_000.0, rel=0.01)


def test_many_teams_take_bounded_memory():
    """Guards against 64,000 teams that each have a histogram."""
    meter = observability.OutcomeCounter()
    for number in range(2 * outcomecounter.MAX_SERIES):
        meter.record(f"t{number}", "orders", "opuwo", True, 1.0)
    series = _read(meter).series
    assert len(series) <= outcomecounter.MAX_SERIES + 1
    assert sum(each.good for each in series) == 2 * outcomecounter.MAX_SERIES
    histograms = [each for each in series if each.histogram]
    assert len(histograms) == outcomecounter.MAX_HISTOGRAMS
