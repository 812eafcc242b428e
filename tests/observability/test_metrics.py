"""Tests of metrics, journal and log."""

import random

import eliot
from eliot import testing

from pomeloward import model
from pomeloward import observability


def test_exposition_is_prometheus_text():
    """Guards against output that a scraper cannot read."""
    metrics = observability.Metrics()
    metrics.increment("requests_total", (("route", 'a"b'),))
    metrics.increment("requests_total", (("route", "c"),), by=2)
    metrics.register_gauge("open_requests", lambda: 3)
    for value_ms in range(1, 101):
        metrics.observe_ms("request_seconds", value_ms)
    lines = metrics.prometheus_text().splitlines()
    assert lines.count("# TYPE requests_total counter") == 1
    assert 'requests_total{route="a\\"b"} 1' in lines
    assert 'requests_total{route="c"} 2' in lines
    assert "open_requests 3" in lines
    assert "request_seconds_count 100" in lines
    p50_ms = metrics.quantile_ms("request_seconds", 0.5)
    assert 49 <= p50_ms <= 51


def test_journal_forgets_the_oldest():
    """Guards against a journal that grows without bound."""
    journal = observability.DecisionJournal(capacity=2)
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


def test_log_writes_a_bounded_number_of_refusals():
    """Guards against a flood of refusals that fills the log."""
    log = observability.EventLogger(0.0, 5.0, random.Random(1))
    logger = testing.MemoryLogger()
    messages = []
    eliot.add_destinations(messages.append)
    try:
        for _ in range(100):
            log.log_request(1_000.0, True, {"kind": "rate_exceeded"})
        log.log_request(1_000.0, False, {"status": 200})
    finally:
        eliot.remove_destination(messages.append)
    started = [m for m in messages if m.get("action_status") == "started"]
    assert len(started) == 5
    logger.reset()
