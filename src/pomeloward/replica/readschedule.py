"""Schedules a host's reads of the platform's store."""

import math

# A draining target must get no new requests 2 s after the store accepted its
# report; with two reads in that time, one of them may be lost.
POLL_INTERVAL_MS = 700.0
# Each host in its zone's order waits this much longer than the one before it
# until it reads in that host's place.
TAKEOVER_DELAY_MS = 500.0
# A host that has just started waits this long for a first heartbeat. Seeds
# answer within a few tenths of a second.
FIRST_CONTACT_MS = 700.0
# Hosts after these in the order usually get the state from their peers.
READERS_PER_ZONE = 4
# They read once the state that their peers have is so much newer.
MAX_LAG_MS = 1_500.0
# Peers of another release may stay different, which a read doesn't change.
_CATCH_UP_INTERVAL_MS = 10_000.0
# The limit of the exponential backoff between failed reads.
MAX_BACKOFF_MS = 1_500.0
INITIAL_BACKOFF_MS = 250.0


class ReadSchedule:
    """Schedules a read when the newest known state of the store is too old.

    The first host of a zone reads every ``POLL_INTERVAL_MS``. Hosts tell
    each other the age of their state, by which the next hosts notice that
    the first one has stopped reading.

    Example::

        schedule = ReadSchedule(now_ms)
        if schedule.is_due(now_ms, rank=0):
            schedule.record_start(now_ms)
    """

    def __init__(self, now_ms: float, is_first_start: bool = False) -> None:
        """Make the schedule of a host that starts now.

        ``is_first_start`` tells that the whole fleet starts for the first
        time, so that no callers wait yet.
        """
        # When the newest state known here was read from the store.
        self.state_read_at_ms = float("-inf")
        self._started_ms = now_ms
        self._is_first_start = is_first_start
        self._earliest_read_ms = now_ms
        self._consecutive_failures = 0
        # When a peer with another state read it from the store.
        self._differing_read_at_ms = float("-inf")
        self._next_catch_up_ms = now_ms

    def state_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the newest known state, None if not known.

        A host may receive a state in a peer's changes before any host has
        told it how old that state is.
        """
        if math.isinf(self.state_read_at_ms):
            return None
        return now_ms - self.state_read_at_ms

    def record_state_read_at(self, read_at_ms: float) -> None:
        """Record when this host or a peer read the state known here.

        Times before that of the newest known state have no effect.
        """
        self.state_read_at_ms = max(self.state_read_at_ms, read_at_ms)

    def record_differing_state(self, read_at_ms: float) -> None:
        """Record when a peer read a state that differs from this host's."""
        self._differing_read_at_ms = max(
            self._differing_read_at_ms, read_at_ms
        )

    def is_due(self, now_ms: float, rank: int, has_peers: bool = True) -> bool:
        """Return whether this host should read the store now.

        ``rank`` is its index in the order of its zone's running hosts, and
        ``has_peers`` tells whether it hears any other host.
        """
        return now_ms >= self.due_at_ms(rank, has_peers)

    def due_at_ms(self, rank: int, has_peers: bool) -> float:
        """Return when this host should read, infinity if it shouldn't.

        The arguments are those of ``is_due``. News of a newer state make it
        later.
        """
        if rank >= READERS_PER_ZONE and has_peers:
            return self._catch_up_due_at_ms()
        takeover_ms = TAKEOVER_DELAY_MS * min(rank, READERS_PER_ZONE)
        if self._is_first_start and math.isinf(self.state_read_at_ms):
            # Many hosts start together, and all of them are the first of
            # their zone until they hear of each other. After a restart
            # callers wait, and each host reads at once.
            patience_ms = 0.0 if has_peers else FIRST_CONTACT_MS
            due_ms = self._started_ms + max(takeover_ms, patience_ms)
        else:
            due_ms = self.state_read_at_ms + POLL_INTERVAL_MS + takeover_ms
        return max(self._earliest_read_ms, due_ms)

    def _catch_up_due_at_ms(self) -> float:
        """Return when a host reads that its peers should have told the state.

        That is the case if messages with a change do not get through.
        """
        known_ms = max(self.state_read_at_ms, self._started_ms)
        if self._differing_read_at_ms - known_ms <= MAX_LAG_MS:
            return math.inf
        return max(self._earliest_read_ms, self._next_catch_up_ms)

    def record_start(self, now_ms: float) -> None:
        """Record the start of a read, which delays the next one."""
        self._earliest_read_ms = now_ms + INITIAL_BACKOFF_MS

    def record_success(self, started_ms: float, now_ms: float) -> None:
        """Record a successful read.

        The state that it returned is at least as new as its start.
        """
        self._consecutive_failures = 0
        self._next_catch_up_ms = now_ms + _CATCH_UP_INTERVAL_MS
        self._earliest_read_ms = now_ms
        self.record_state_read_at(started_ms)

    def record_failure(self, now_ms: float) -> None:
        """Record a failed read and back off before the next one."""
        backoff_ms = INITIAL_BACKOFF_MS * 2.0 ** min(
            self._consecutive_failures, 6
        )
        self._consecutive_failures += 1
        self._earliest_read_ms = now_ms + min(MAX_BACKOFF_MS, backoff_ms)
