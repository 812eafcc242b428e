"""Tests of metrics, decision journal and event logger."""

import random

import eliot
from eliot import testing

from pomeloward import model
from pomeloward import observability


def test_metrics_are_rendered_in_the_prometheus_text_format():
    """Guards against output that Prometheus can't scrape."""
    metrics = observability.Metrics()
    metrics.increment("requests_total", (("route", 'a"b'),))
    metrics.increment("requests_total", (("route", "c"),), amount=2)
    metrics.register_gauge("open_requests", lambda: 3)
    for duration_ms in range(1, 101):
        metrics.observe_ms("request_seconds", duration_ms)
    lines = metrics.prometheus_text().splitlines()
    assert lines.count("# TYPE requests_total counter") == 1
    assert 'requests_total{route="a\\"b"} 1' in lines
    assert 'requests_total{route="c"} 2' in lines
    assert "open_requests 3" in lines
    assert "request_seconds_count 100" in lines
    p50_ms = metrics.quantile_ms("request_seconds", 0.5)
    assert 49 <= p50_ms <= 51


def test_full_journal_drops_its_oldest_decision():
    """Guards against a journal that grows without bound."""
    journal = observability.DecisionJournal(max_decisions=2)
    for number in range(3):
        journal.record(
            observability.Decision(
                at_ms=number,
                kind="retry",
                request=model.RequestId(str(number)),
            )
        )
    assert journal.decisions_about_request(model.RequestId("0")) == []
    assert len(journal.decisions_about_request(model.RequestId("2"))) == 1


def test_logger_limits_the_rate_of_failed_requests():
    """Guards against many failed requests that fill the log."""
    logger = observability.EventLogger(0.0, 5.0, random.Random(1))
    memory_logger = testing.MemoryLogger()
    messages = []
    eliot.add_destinations(messages.append)
    try:
        for _ in range(100):
            logger.log_request(1_000.0, True, {"kind": "rate_exceeded"})
        logger.log_request(1_000.0, False, {"status": 200})
    finally:
        eliot.remove_destination(messages.append)
    started = [
        each for each in messages if each.get("action_status") == "started"
    ]
    assert len(started) == 5
    memory_logger.reset()
