"""Tests of burn rates, their history and reports."""

from hdrh import histogram
import hypothesis
from hypothesis import strategies
import pytest

from pomeloward import model
from pomeloward import observability

_DIMENSIONS = ("service", "team", "zone")


def _sample(host, at_s, good, bad, incarnation=1, values_us=()):
    found = histogram.HdrHistogram(1, 600_000_000, 2)
    for value in values_us:
        found.record_value(value)
    encoded = found.encode().decode() if values_us else ""
    series = observability.OutcomeSeries(
        "crew", "orders", "opuwo", good, bad, encoded
    )
    return observability.OutcomeSample(host, incarnation, (series,), at_s)


def _history(*samples):
    history = observability.OutcomeHistory(_DIMENSIONS)
    for sample in samples:
        history.add_sample(sample)
    return history


def _rates(history, now_s, scale=1.0):
    windows = observability.scaled_window_pairs(scale)
    found = observability.burn_rates(history, windows, 0.999, now_s)
    return {(rate.subject, rate.window_pair.name): rate for rate in found}


def test_rate_is_the_bad_share_over_the_allowed_one():
    """Guards against a rate that is off by the objective or the hosts."""
    rates = _rates(
        _history(
            _sample("h1", 0.0, 100, 0),
            _sample("h2", 0.0, 0, 0),
            _sample("h1", 60.0, 590, 10),
            _sample("h2", 60.0, 500, 0),
        ),
        60.0,
    )
    for subject in (("team", "crew"), ("service", "orders")):
        rate = rates[subject, "1h/5m"]
        assert rate.long_window_rate == pytest.approx(0.01 / 0.001)
        assert rate.short_window_rate == rate.long_window_rate


def test_alert_needs_both_windows():
    """Guards against alerts long after the fault has ended."""
    start = [_sample("h1", 0.0, 0, 0), _sample("h1", 600.0, 900, 100)]
    rates = _rates(_history(*start), 600.0)
    assert rates[("team", "crew"), "1h/5m"].is_alerting
    later = _history(*start, _sample("h1", 1_200.0, 1_900, 100))
    rate = _rates(later, 1_200.0)[("team", "crew"), "1h/5m"]
    assert rate.long_window_rate > rate.window_pair.burn_rate_threshold
    assert rate.short_window_rate == 0.0
    assert not rate.is_alerting
    assert (
        _rates(later, 99_999.0)[("team", "crew"), "1h/5m"].long_window_rate
        is None
    )


def test_windows_are_those_of_the_workbook():
    """Guards against thresholds that miss or flood."""
    names = [
        (each.name, each.burn_rate_threshold)
        for each in observability.scaled_window_pairs(1)
    ]
    assert names == [("1h/5m", 14.4), ("6h/30m", 6.0), ("3d/6h", 1.0)]
    assert observability.scaled_window_pairs(1 / 60)[0].name == "1m/5s"


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["h1", "h2"]),
            strategies.integers(0, 50),
            strategies.integers(0, 5),
            strategies.booleans(),
        ),
        max_size=20,
    )
)
def test_restarts_lose_and_repeat_no_request(steps):
    """Guards against counts that jump when a host restarts.

    Every host is sampled after each step; all requests after the first
    sample count once.
    """
    counts = {"h1": [7, 7, 1], "h2": [7, 7, 1]}
    history = _history(*(_sample(host, 0.0, *counts[host]) for host in counts))
    good = bad = 0
    for number, (host, more_good, more_bad, is_restart) in enumerate(steps):
        count = counts[host]
        if is_restart:
            count[:] = [0, 0, count[2] + 1]
        count[0] += more_good
        count[1] += more_bad
        good, bad = good + more_good, bad + more_bad
        history.add_sample(_sample(host, number + 1.0, *count))
        restored = observability.OutcomeHistory(_DIMENSIONS)
        restored.restore(history.dump())
        history = restored
    found = history.counts_in_window(("team", "crew"), 1_000.0, 100.0)
    assert found == (good, bad)


def test_forgotten_points_leave_windows_unchanged():
    """Guards against a history that grows without end, or loses counts."""
    samples = [_sample("h1", at_s, 10 * at_s, at_s) for at_s in range(100)]
    history = _history(*samples)
    before = history.counts_in_window(("zone", "opuwo"), 30.0, 99.0)
    history.prune_before(69.0)
    assert (
        history.counts_in_window(("zone", "opuwo"), 30.0, 99.0)
        == before
        == (300, 30)
    )
    assert len(history.dump()) < 2_000


def test_latency_is_merged_over_hosts():
    """Guards against a quantile of one host in place of the fleet's."""
    latency = observability.MergedLatency(
        [
            _sample("h1", 0.0, 1, 0, values_us=[1_000] * 99),
            _sample("h2", 0.0, 1, 0, values_us=[50_000] * 101),
        ]
    )
    subject = ("service", "orders")
    assert latency.quantile_ms(subject, 0.4) == pytest.approx(1.0, rel=0.02)
    assert latency.quantile_ms(subject, 0.6) == pytest.approx(50.0, rel=0.02)
    assert latency.quantile_ms(("team", "none"), 0.5) is None


@pytest.mark.parametrize("text", ["x", "%%%", "HISTFAAA", "A" * 300_000, "é"])
def test_malformed_histogram_names_its_host(text):
    """Guards against a report that one host's bad answer ends unclearly."""
    series = observability.OutcomeSeries("crew", "orders", "opuwo", 1, 0, text)
    sample = observability.OutcomeSample("h1", 1, (series,))
    with pytest.raises(model.PomelowardError, match="h1: "):
        observability.MergedLatency([sample])


def test_report_escapes_names_and_marks_alerts(tmp_path):
    """Guards against markup from names, and alerts that are not shown."""
    series = observability.OutcomeSeries("<b>", "orders", "opuwo", 0, 50)
    first = observability.OutcomeSample("h1", 1, (), 0.0)
    second = observability.OutcomeSample("h1", 1, (series,), 10.0)
    history = _history(first, second)
    rates = list(_rates(history, 10.0).values())
    report = observability.BurnRateReport(
        rates, observability.MergedLatency([])
    )
    assert "team <b>" in report.text_table()
    assert "1000.00/1000.00 ALERT" in report.text_table()
    assert "&lt;b&gt;" in report.html_page()
    assert "<b>" not in report.html_page()
    assert len(report.alerting_rates) == 9
    chart = tmp_path / "chart.png"
    report.save_png_chart(str(chart))
    assert chart.read_bytes().startswith(b"\x89PNG")
