"""Tests of when a host checks its path, and when that counts as lost."""

from pomeloward import balance
from pomeloward import model
from pomeloward import relay

_UNREACHABLE = balance.Outcome.UNREACHABLE
_OK = balance.Outcome.OK
_EXPECTED_MS = 100.0


class Host:
    """A path monitor that records its changes and suggested checks."""

    def __init__(self):
        self.changes = []
        self.suggested_count = 0
        self.monitor = relay.PathMonitor(self.changes.append, self._suggest)

    def _suggest(self):
        self.suggested_count += 1

    def start(self, target, now_ms):
        attempt = balance.Attempt(
            model.ServiceId("s"),
            model.TargetId(target),
            model.RouteId("r"),
            now_ms,
            _EXPECTED_MS,
            now_ms + 2 * _EXPECTED_MS,
        )
        self.monitor.record_start(attempt)
        return attempt

    def end(self, target, outcome, now_ms):
        self.monitor.record_end(self.start(target, now_ms), outcome, now_ms)


def test_failures_at_two_targets_call_for_a_check():
    host = Host()
    host.end("t0", _OK, 1_000.0)
    host.end("t1", _UNREACHABLE, 1_000.0)
    assert not host.monitor.is_check_due(1_100.0)
    host.end("t2", _UNREACHABLE, 1_100.0)
    assert host.monitor.is_check_due(1_100.0)


def test_failure_at_one_target_calls_for_a_check_without_answers():
    host = Host()
    host.end("t0", _OK, 1_000.0)
    host.end("t1", _UNREACHABLE, 1_290.0)
    assert not host.monitor.is_check_due(1_290.0)
    assert host.monitor.is_check_due(1_310.0)


def test_failures_far_apart_call_for_no_check():
    """A few crashed targets made all hosts connect to others."""
    host = Host()
    for number in range(10):
        now_ms = 2_000.0 * number
        host.end(f"t{number}", _UNREACHABLE, now_ms)
        host.end("t99", _OK, now_ms)
        assert not host.monitor.is_check_due(now_ms)


def test_failed_targets_alone_do_not_lose_the_path():
    host = Host()
    for number in range(5):
        host.end(f"t{number}", _UNREACHABLE, 0.0)
    assert host.monitor.is_check_due(0.0)
    host.monitor.record_check(True, 100.0)
    assert not host.monitor.is_lost
    for number in range(5):
        host.end(f"t{number}", _UNREACHABLE, 500.0)
    assert not host.monitor.is_check_due(500.0)
    assert host.changes == []


def test_two_good_checks_end_the_loss():
    """One connection that passed on a lossy link brought callers back."""
    host = Host()
    host.monitor.record_check(False, 0.0)
    assert host.monitor.is_lost
    host.monitor.record_check(True, 500.0)
    assert host.monitor.is_lost
    host.monitor.record_check(False, 1_000.0)
    host.monitor.record_check(True, 1_500.0)
    assert host.monitor.is_lost
    host.monitor.record_check(True, 2_000.0)
    assert host.changes == [True, False]


def test_lost_path_is_checked_again_and_again():
    host = Host()
    host.monitor.record_check(False, 0.0)
    assert not host.monitor.is_check_due(400.0)
    assert host.monitor.is_check_due(500.0)
    assert host.monitor.is_watching(100_000.0)


def test_host_without_answers_checks_when_another_one_lost_its_path():
    host = Host()
    assert not host.monitor.is_watching(0.0)
    host.monitor.request_check(0.0)
    assert host.suggested_count == 1
    assert host.monitor.is_check_due(0.0)
    host.monitor.record_check(True, 100.0)
    assert not host.monitor.is_watching(100.0)


def test_answer_from_just_before_puts_the_requested_check_off():
    """Hosts that had one request just before the cut never checked."""
    host = Host()
    host.end("t0", _OK, 900.0)
    host.monitor.request_check(1_000.0)
    assert not host.monitor.is_check_due(1_000.0)
    assert host.monitor.is_check_due(1_200.0)
    host.end("t0", _OK, 1_250.0)
    assert not host.monitor.is_check_due(1_300.0)


def test_silence_of_many_targets_calls_for_a_check():
    """Orders went into hanging connections until connections had failed."""
    host = Host()
    host.end("t0", _OK, 1_000.0)
    for number in range(5):
        host.start(f"t{number}", 1_000.0)
    assert not host.monitor.is_check_due(1_055.0)
    assert host.monitor.is_check_due(1_080.0)


def test_silence_of_few_targets_calls_for_no_check():
    """A hung target that held many requests made hosts check their path."""
    host = Host()
    for number in range(20):
        host.start(f"t{number % 2}", 0.0)
    host.end("t4", _OK, 9_800.0)
    assert not host.monitor.is_check_due(10_000.0)
    host.start("t3", 10_000.0)
    host.end("t4", _OK, 10_000.0)
    assert not host.monitor.is_check_due(10_010.0)


def test_late_answer_calls_for_a_check_if_no_other_target_answers():
    """A host with few callers noticed its broken path at their deadlines."""
    host = Host()
    host.start("t0", 0.0)
    assert not host.monitor.is_check_due(150.0)
    assert host.monitor.is_check_due(350.0)
    host.end("t1", _OK, 400.0)
    assert not host.monitor.is_check_due(450.0)
    host.monitor.record_check(True, 450.0)
    assert not host.monitor.is_check_due(2_000.0)
    assert host.monitor.is_check_due(2_500.0)


def test_checks_become_rare_while_targets_are_silent_but_reachable():
    host = Host()
    for number in range(5):
        host.start(f"t{number}", 0.0)
    checked_at_ms = []
    for now_ms in range(100, 10_000, 50):
        if host.monitor.is_check_due(float(now_ms)):
            checked_at_ms.append(now_ms)
            host.monitor.start_check()
            host.monitor.record_check(True, float(now_ms))
    assert checked_at_ms[1] - checked_at_ms[0] <= 1_000
    assert checked_at_ms[-1] - checked_at_ms[-2] == 2_000


def test_check_under_way_is_not_started_again():
    host = Host()
    for number in range(5):
        host.end(f"t{number}", _UNREACHABLE, 0.0)
    host.monitor.start_check()
    assert not host.monitor.is_check_due(0.0)


def test_checks_go_on_for_hours_while_a_target_hangs():
    """The interval overflowed, and the host ended."""
    host = Host()
    host.start("t0", 0.0)
    for number in range(1, 2_000):
        now_ms = 2_000.0 * number
        assert host.monitor.is_check_due(now_ms)
        host.monitor.start_check()
        host.monitor.record_check(True, now_ms)
