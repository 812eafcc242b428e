"""Tests of burn rates, outcome history, latency and reports."""

from hdrh import histogram
import hypothesis
from hypothesis import strategies
import pytest

from pomeloward import model
from pomeloward import observability

_DIMENSIONS = ("service", "team", "zone")


def _sample(host, at_s, good, bad, incarnation=1, latencies_us=()):
    latency_histogram = histogram.HdrHistogram(1, 600_000_000, 2)
    for latency_us in latencies_us:
        latency_histogram.record_value(latency_us)
    encoded = latency_histogram.encode().decode() if latencies_us else ""
    series = observability.OutcomeSeries(
        "crew", "orders", "opuwo", good, bad, encoded
    )
    return observability.OutcomeSample(host, incarnation, (series,), at_s)


def _history(*samples):
    history = observability.OutcomeHistory(_DIMENSIONS)
    for sample in samples:
        history.add_sample(sample)
    return history


def _rates_by_subject_and_pair(history, now_s, scale_ratio=1.0):
    window_pairs = observability.scaled_window_pairs(scale_ratio)
    rates = observability.burn_rates(history, window_pairs, 0.999, now_s)
    return {(rate.subject, rate.window_pair.name): rate for rate in rates}


def test_burn_rate_is_the_bad_ratio_divided_by_the_allowed_ratio():
    """Guards against a rate of one host, or without the objective."""
    rates = _rates_by_subject_and_pair(
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


def test_alert_needs_the_threshold_in_both_windows():
    """Guards against alerts long after the fault has ended."""
    samples = [_sample("h1", 0.0, 0, 0), _sample("h1", 600.0, 900, 100)]
    rates = _rates_by_subject_and_pair(_history(*samples), 600.0)
    assert rates[("team", "crew"), "1h/5m"].is_alerting
    later_history = _history(*samples, _sample("h1", 1_200.0, 1_900, 100))
    rate = _rates_by_subject_and_pair(later_history, 1_200.0)[
        ("team", "crew"), "1h/5m"
    ]
    assert rate.long_window_rate > rate.window_pair.burn_rate_threshold
    assert rate.short_window_rate == 0.0
    assert not rate.is_alerting
    assert (
        _rates_by_subject_and_pair(later_history, 99_999.0)[
            ("team", "crew"), "1h/5m"
        ].long_window_rate
        is None
    )


def test_window_pairs_are_those_of_the_sre_workbook():
    """Guards against thresholds that miss faults or alert too often."""
    names_and_thresholds = [
        (each.name, each.burn_rate_threshold)
        for each in observability.scaled_window_pairs(1)
    ]
    assert names_and_thresholds == [
        ("1h/5m", 14.4),
        ("6h/30m", 6.0),
        ("3d/6h", 1.0),
    ]
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
def test_restarted_hosts_lose_and_repeat_no_request(steps):
    """Guards against counts that jump when a host restarts.

    The host of a step is sampled after it; each request after the first
    sample of its host counts once.
    """
    # Good requests, bad requests and incarnation.
    counts_by_host = {"h1": [7, 7, 1], "h2": [7, 7, 1]}
    history = _history(
        *(_sample(host, 0.0, *counts_by_host[host]) for host in counts_by_host)
    )
    good = bad = 0
    for step, (host, more_good, more_bad, is_restart) in enumerate(steps):
        counts = counts_by_host[host]
        if is_restart:
            counts[:] = [0, 0, counts[2] + 1]
        counts[0] += more_good
        counts[1] += more_bad
        good, bad = good + more_good, bad + more_bad
        history.add_sample(_sample(host, step + 1.0, *counts))
        restored = observability.OutcomeHistory(_DIMENSIONS)
        restored.restore(history.dump())
        history = restored
    counted = history.counts_in_window(("team", "crew"), 1_000.0, 100.0)
    assert counted == (good, bad)


def test_pruning_leaves_counts_of_later_windows_unchanged():
    """Guards against a history that grows without bound or loses counts."""
    samples = [_sample("h1", at_s, 10 * at_s, at_s) for at_s in range(100)]
    history = _history(*samples)
    counts_before = history.counts_in_window(("zone", "opuwo"), 30.0, 99.0)
    history.prune_before(69.0)
    assert (
        history.counts_in_window(("zone", "opuwo"), 30.0, 99.0)
        == counts_before
        == (300, 30)
    )
    assert len(history.dump()) < 2_000


def test_latency_quantiles_merge_all_hosts():
    """Guards against a quantile of one host instead of the whole fleet."""
    latency = observability.MergedLatency(
        [
            _sample("h1", 0.0, 1, 0, latencies_us=[1_000] * 99),
            _sample("h2", 0.0, 1, 0, latencies_us=[50_000] * 101),
        ]
    )
    subject = ("service", "orders")
    assert latency.quantile_ms(subject, 0.4) == pytest.approx(1.0, rel=0.02)
    assert latency.quantile_ms(subject, 0.6) == pytest.approx(50.0, rel=0.02)
    assert latency.quantile_ms(("team", "none"), 0.5) is None


@pytest.mark.parametrize(
    "encoded", ["x", "%%%", "HISTFAAA", "A" * 300_000, "é"]
)
def test_error_of_a_malformed_histogram_names_its_host(encoded):
    """Guards against errors that don't say which host's data is bad."""
    series = observability.OutcomeSeries(
        "crew", "orders", "opuwo", 1, 0, encoded
    )
    sample = observability.OutcomeSample("h1", 1, (series,))
    with pytest.raises(model.PomelowardError, match="h1: "):
        observability.MergedLatency([sample])


def test_report_escapes_names_in_html_and_marks_alerts(tmp_path):
    """Guards against HTML injection by names, and alerts not shown."""
    series = observability.OutcomeSeries("<b>", "orders", "opuwo", 0, 50)
    first = observability.OutcomeSample("h1", 1, (), 0.0)
    second = observability.OutcomeSample("h1", 1, (series,), 10.0)
    history = _history(first, second)
    rates = list(_rates_by_subject_and_pair(history, 10.0).values())
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
