"""Decides when a host reads the platform's store itself."""

import math

# A drained target must get nothing new 2 s after the store took the report;
# two readings at this interval leave time for one that is lost.
POLL_INTERVAL_MS = 700.0
# Each further host in its zone's order lets this much more pass before it
# reads in the place of those before it.
TAKEOVER_DELAY_MS = 500.0
# Hosts past these read only while they hear no other host.
READERS_PER_ZONE = 4
# Failed readings are repeated with up to this pause.
MAX_BACKOFF_MS = 1_500.0
INITIAL_BACKOFF_MS = 250.0


class ReadSchedule:
    """Reads when the newest known state of the store is too old.

    The first host of a zone reads every ``POLL_INTERVAL_MS``. Hosts tell
    each other the age of their state, by which the next ones see that the
    first has stopped reading.

    Example::

        turn = ReadSchedule(now_ms)
        if turn.is_due(now_ms, rank=0):
            turn.record_start(now_ms)
    """

    def __init__(self, now_ms: float) -> None:
        # When the newest state known here was read from the store.
        self.state_read_at_ms = float("-inf")
        self._next_ms = now_ms
        self._failures = 0

    def state_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the newest known state, None if not known.

        A host may get a state from a peer's news before any host has told it
        how old that state is.
        """
        if math.isinf(self.state_read_at_ms):
            return None
        return now_ms - self.state_read_at_ms

    def record_state_read_at(self, read_at_ms: float) -> None:
        """Take from a peer how new its state of the store is."""
        self.state_read_at_ms = max(self.state_read_at_ms, read_at_ms)

    def is_due(self, now_ms: float, rank: int, has_peers: bool = True) -> bool:
        """Tell whether the host at a place of its zone's order reads now."""
        if now_ms < self._next_ms:
            return False
        if rank >= READERS_PER_ZONE and has_peers:
            return False
        allowed_ms = POLL_INTERVAL_MS + TAKEOVER_DELAY_MS * min(
            rank, READERS_PER_ZONE
        )
        return now_ms - self.state_read_at_ms >= allowed_ms

    def record_start(self, now_ms: float) -> None:
        """Note that a reading begins."""
        self._next_ms = now_ms + INITIAL_BACKOFF_MS

    def record_success(self, began_ms: float, now_ms: float) -> None:
        """Note a reading, whose state is at least as new as its begin."""
        self._failures = 0
        self._next_ms = now_ms
        self.record_state_read_at(began_ms)

    def record_failure(self, now_ms: float) -> None:
        """Note a failed reading."""
        backoff_ms = INITIAL_BACKOFF_MS * 2.0 ** min(self._failures, 6)
        self._failures += 1
        self._next_ms = now_ms + min(MAX_BACKOFF_MS, backoff_ms)
