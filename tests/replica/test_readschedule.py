"""Tests of reading the store in turn."""

from pomeloward import replica
from pomeloward.replica import readschedule


def test_first_host_reads_and_others_wait_while_it_does():
    first, second = replica.ReadSchedule(0.0), replica.ReadSchedule(0.0)
    readings = 0
    for now_ms in range(0, 10_000, 50):
        if first.is_due(now_ms, 0):
            first.record_start(now_ms)
            first.record_success(now_ms, now_ms + 4)
            readings += 1
        second.record_state_read_at(first.state_read_at_ms)
        assert not (now_ms > 0 and second.is_due(now_ms, 1))
    assert 12 <= readings <= 16


def test_next_host_takes_over_within_a_second_and_a_half():
    second = replica.ReadSchedule(0.0)
    second.record_state_read_at(0.0)
    due_ms = next(
        now_ms for now_ms in range(5_000) if second.is_due(now_ms, 1)
    )
    assert due_ms <= 1_500


def test_failed_readings_back_off_to_a_bound():
    failing = replica.ReadSchedule(0.0)
    attempts = 0
    for now_ms in range(0, 60_000, 50):
        if failing.is_due(now_ms, 0):
            failing.record_start(now_ms)
            failing.record_failure(now_ms + 4)
            attempts += 1
    assert 60_000 / readschedule.MAX_BACKOFF_MS * 0.8 < attempts < 60


def test_hosts_far_in_the_order_read_only_when_alone():
    last = replica.ReadSchedule(0.0)
    assert not last.is_due(1e6, replica.readschedule.READERS_PER_ZONE)
    assert last.is_due(
        1e6, replica.readschedule.READERS_PER_ZONE, has_peers=False
    )


def test_age_is_unknown_until_a_reading_or_a_peer_tells_it():
    """A host that had its first state from a peer's news ended by itself."""
    made = replica.ReadSchedule(0.0)
    assert made.state_age_ms(500.0) is None
    made.record_state_read_at(200.0)
    assert made.state_age_ms(500.0) == 300.0
