"""Tests of which requests are quarantined, and for how long."""

import random

from pomeloward import model
from pomeloward import quarantine

_REQUEST = model.RequestFingerprint("f1")
_OTHER = model.RequestFingerprint("f2")
_RUN_MS = 100.0


class Host:
    """A quarantine whose changes and crashes are recorded."""

    def __init__(self):
        self.changes = []
        self.quarantine = quarantine.RequestQuarantine(
            lambda *change: self.changes.append(change)
        )

    def crash(self, count, from_ms=0.0, request=_REQUEST):
        """Crash targets one second apart; return the time of the last."""
        now_ms = from_ms
        for number in range(count):
            now_ms = from_ms + number * 1_000.0
            self.quarantine.record_crash(request, now_ms - _RUN_MS, now_ms)
        return now_ms

    def is_quarantined(self, now_ms, request=_REQUEST):
        return self.quarantine.remaining_ms(request, now_ms) > 0

    def report_to(self, other, now_ms):
        other.quarantine.apply_report(self.quarantine.pop_news(now_ms), now_ms)

    def report_quarantined_to(self, other, now_ms):
        other.quarantine.apply_report(
            quarantine.CrashReport(
                quarantined=self.quarantine.quarantined(now_ms)
            ),
            now_ms,
        )


def test_third_crash_quarantines_only_that_request():
    host = Host()
    host.crash(2)
    assert not host.is_quarantined(2_000.0)
    host.crash(1, 2_000.0)
    assert host.is_quarantined(2_000.0)
    assert not host.is_quarantined(2_000.0, _OTHER)
    assert host.changes == [(_REQUEST, 3, quarantine.QUARANTINE_MS)]


def test_crashes_of_targets_that_ran_equal_requests_together_count_once():
    """The loss of a rack made popular requests look deadly."""
    host = Host()
    for started_ms, crashed_ms in ((0, 100), (50, 100), (90, 101), (99, 102)):
        host.quarantine.record_crash(_REQUEST, started_ms, crashed_ms)
    host.crash(1, 5_000.0)
    assert not host.is_quarantined(5_000.0)
    host.crash(1, 9_000.0)
    assert host.is_quarantined(9_000.0)


def test_crashes_together_at_two_hosts_count_once():
    first, second = Host(), Host()
    for number in range(2):
        now_ms = number * 1_000.0
        for host in (first, second):
            host.crash(1, now_ms)
        first.report_to(second, now_ms + 150.0)
        second.report_to(first, now_ms + 150.0)
    assert not first.is_quarantined(1_150.0)
    assert not second.is_quarantined(1_150.0)


def test_request_that_targets_run_whole_in_between_is_never_quarantined():
    """Popular requests ran beside crashes often enough to be refused."""
    host, rng = Host(), random.Random(1)
    for number in range(2_000):
        now_ms = number * 100.0
        if rng.random() < 0.2:
            host.crash(1, now_ms)
        else:
            host.quarantine.record_survival(_REQUEST, now_ms)
        if number % 10 == 9:
            host.quarantine.record_survival(_REQUEST, now_ms)
    quarantined = [change for change in host.changes if change[2] > 0]
    assert len(quarantined) <= 20
    assert not host.is_quarantined(200_000.0)


def test_survival_ends_a_quarantine_on_all_hosts():
    first, second = Host(), Host()
    now_ms = first.crash(3)
    first.report_to(second, now_ms)
    assert second.is_quarantined(now_ms)
    second.quarantine.record_survival(_REQUEST, now_ms + 100)
    second.report_to(first, now_ms + 110)
    assert not first.is_quarantined(now_ms + 110)
    assert first.changes[-1] == (_REQUEST, 3, 0.0)


def test_report_sent_before_a_survival_does_not_renew_the_quarantine():
    first, second = Host(), Host()
    now_ms = first.crash(3)
    first.report_quarantined_to(second, now_ms)
    second.quarantine.record_survival(_REQUEST, now_ms + 100)
    first.report_quarantined_to(second, now_ms + 120)
    assert not second.is_quarantined(now_ms + 120)


def test_crashes_at_different_hosts_add_up():
    hosts = [Host(), Host(), Host()]
    for number, host in enumerate(hosts):
        now_ms = host.crash(1, number * 2_000.0)
        report = host.quarantine.pop_news(now_ms)
        for receiver in hosts:
            if receiver is not host:
                receiver.quarantine.apply_report(report, now_ms)
    assert all(host.is_quarantined(4_000.0) for host in hosts)


def test_host_without_crashes_learns_the_remaining_time():
    first, second = Host(), Host()
    now_ms = first.crash(3)
    first.report_quarantined_to(second, now_ms + 60_000.0)
    assert second.quarantine.remaining_ms(_REQUEST, now_ms + 60_000.0) == (
        quarantine.QUARANTINE_MS - 60_000.0
    )


def test_one_crash_after_the_quarantine_renews_it_for_longer():
    host = Host()
    now_ms = host.crash(3) + quarantine.QUARANTINE_MS + 1.0
    assert not host.is_quarantined(now_ms)
    host.crash(1, now_ms)
    remaining_ms = host.quarantine.remaining_ms(_REQUEST, now_ms)
    assert remaining_ms >= 2 * quarantine.QUARANTINE_MS


def test_memory_and_reports_are_bounded():
    """A flood of different requests beside crashes filled the memory."""
    host = Host()
    for number in range(20_000):
        request = model.RequestFingerprint(f"r{number}")
        now_ms = host.crash(3, request=request)
    assert host.quarantine.quarantined_count(now_ms) <= 4_096
    assert len(host.quarantine.quarantined(now_ms)) <= 128
    report = host.quarantine.pop_news(now_ms)
    assert len(report.crashes) <= 128
    assert not host.quarantine.has_news


def test_absurd_remaining_time_in_a_report_is_bounded():
    host = Host()
    host.quarantine.apply_report(
        quarantine.CrashReport(
            quarantined=(
                quarantine.QuarantinedRequest(_REQUEST, 2**62),
                quarantine.QuarantinedRequest(_OTHER, -(2**62)),
            )
        ),
        0.0,
    )
    assert 0 < host.quarantine.remaining_ms(_REQUEST, 0.0) <= 86_400_000.0
    assert not host.is_quarantined(0.0, _OTHER)
