"""Tests of the schedule by which hosts read the store."""

from pomeloward import replica
from pomeloward.replica import readschedule


def test_first_host_reads_and_next_host_waits_meanwhile():
    first, second = replica.ReadSchedule(0.0), replica.ReadSchedule(0.0)
    read_count = 0
    for now_ms in range(0, 10_000, 50):
        if first.is_due(now_ms, 0):
            first.record_start(now_ms)
            first.record_success(now_ms, now_ms + 4)
            read_count += 1
        second.record_state_read_at(first.state_read_at_ms)
        assert not (now_ms > 0 and second.is_due(now_ms, 1))
    assert 12 <= read_count <= 16


def test_next_host_takes_over_within_1500_ms():
    second = replica.ReadSchedule(0.0)
    second.record_state_read_at(0.0)
    due_ms = next(
        now_ms for now_ms in range(5_000) if second.is_due(now_ms, 1)
    )
    assert due_ms <= 1_500


def test_backoff_after_failed_reads_is_limited():
    schedule = replica.ReadSchedule(0.0)
    attempt_count = 0
    for now_ms in range(0, 60_000, 50):
        if schedule.is_due(now_ms, 0):
            schedule.record_start(now_ms)
            schedule.record_failure(now_ms + 4)
            attempt_count += 1
    assert 60_000 / readschedule.MAX_BACKOFF_MS * 0.8 < attempt_count < 60


def test_host_after_the_readers_reads_only_without_peers():
    last = replica.ReadSchedule(0.0)
    assert not last.is_due(1e6, replica.readschedule.READERS_PER_ZONE)
    assert last.is_due(
        1e6, replica.readschedule.READERS_PER_ZONE, has_peers=False
    )


def test_state_age_is_unknown_before_a_read_or_report_of_a_peer():
    """A host's process ended when its first state came from a peer.

    The changes arrived before any host had told the age of that state.
    """
    schedule = replica.ReadSchedule(0.0)
    assert schedule.state_age_ms(500.0) is None
    schedule.record_state_read_at(200.0)
    assert schedule.state_age_ms(500.0) == 300.0


def test_due_time_is_the_first_time_at_which_a_read_is_due():
    """A host that sleeps until its due time must neither miss nor hurry it."""
    for rank in range(readschedule.READERS_PER_ZONE):
        schedule = replica.ReadSchedule(0.0)
        schedule.record_state_read_at(1_000.0)
        due_ms = schedule.due_at_ms(rank, has_peers=True)
        assert schedule.is_due(due_ms, rank)
        assert not schedule.is_due(due_ms - 1.0, rank)


def test_host_after_the_readers_has_no_due_time():
    schedule = replica.ReadSchedule(0.0)
    rank = readschedule.READERS_PER_ZONE
    assert schedule.due_at_ms(rank, has_peers=True) == float("inf")
    assert schedule.due_at_ms(rank, has_peers=False) < float("inf")


def test_host_that_its_peers_cannot_update_reads_itself():
    """Hosts kept an old configuration whose successor no message carried."""
    schedule = replica.ReadSchedule(0.0)
    schedule.record_state_read_at(500.0)
    reads_ms = []
    for now_ms in range(1_000, 31_000, 50):
        schedule.record_differing_state(now_ms - 300.0)
        if schedule.is_due(now_ms, 4):
            schedule.record_start(now_ms)
            schedule.record_success(now_ms, now_ms + 4)
            reads_ms.append(now_ms)
    assert 2_000 < reads_ms[0] <= 2_400
    # Peers that differ after a read are not followed more often.
    assert len(reads_ms) == 3


def test_host_in_sync_does_not_read_for_a_short_difference():
    schedule = replica.ReadSchedule(0.0)
    for now_ms in range(0, 10_000, 100):
        if now_ms % 1_000 < 800:
            schedule.record_differing_state(now_ms - 200.0)
        else:
            schedule.record_state_read_at(now_ms - 200.0)
        assert not schedule.is_due(now_ms, 4)


def test_hosts_that_start_together_read_once_a_zone():
    """All hosts of a fleet read everything at their start.

    Each is the first of its zone until it hears of the others.
    """
    schedules = [
        replica.ReadSchedule(0.0, is_first_start=True) for _ in range(59)
    ]
    read_count = 0
    for now_ms in range(0, 2_000, 10):
        has_peers = now_ms >= 300
        for rank, schedule in enumerate(schedules):
            known_rank = rank if has_peers else 0
            if schedule.is_due(now_ms, known_rank, has_peers):
                schedule.record_start(now_ms)
                schedule.record_success(now_ms, now_ms + 40)
                read_count += now_ms < 1_000
                for other in schedules:
                    other.record_state_read_at(now_ms)
    assert read_count <= 2


def test_restarted_host_reads_at_once():
    """Callers wait while a fleet restarts; each host waited for the others."""
    for rank in range(readschedule.READERS_PER_ZONE):
        for has_peers in (False, True):
            schedule = replica.ReadSchedule(0.0)
            assert schedule.is_due(0.0, rank, has_peers)


def test_host_without_peers_reads_soon_after_the_first_start():
    schedule = replica.ReadSchedule(0.0, is_first_start=True)
    assert schedule.due_at_ms(0, has_peers=False) <= 1_000.0
