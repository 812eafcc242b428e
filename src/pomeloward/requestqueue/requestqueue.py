"""The line in front of one service, for the load that exceeds its slots."""

import collections.abc

from pomeloward.requestqueue import queuedrequest as tickets

# Part of its time, until its objective or after it, that a request may be
# foreseen to wait: urgent requests that come later go before it.
_FORESEEN_RATIO = 0.5
# Late requests that may wait for the end of a burst, for each slot. While
# the load stays above the slots they wait in vain.
_LATE_PER_SLOT = 0.25


class RequestQueue:
    """Orders waiting requests and refuses those that can't be in time.

    The line answers two loads: bursts above the slots of a service, where
    the urgent go first, and the loss of targets, where the rest is refused
    at once, waiting or new, with the time until the line is shorter.

    Requests that miss their objective go last and are few, since they get
    no slot while the load stays above the slots.
    """

    def __init__(self) -> None:
        self._waiting: list[tickets.QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def estimate_wait_ms(
        self, ticket: tickets.QueuedRequest, slots: int, now_ms: float
    ) -> float:
        """Return how long a request would wait in the line as it is."""
        place = ticket.sort_key(now_ms)
        ahead_ms = sum(
            one.expected_run_ms
            for one in self._waiting
            if one.sort_key(now_ms) <= place
        )
        return ahead_ms / max(1, slots)

    def can_admit(
        self, ticket: tickets.QueuedRequest, slots: int, now_ms: float
    ) -> bool:
        """Tell whether a request that has to wait can be in time."""
        if slots <= 0:
            return False
        wait_ms = self.estimate_wait_ms(ticket, slots, now_ms)
        aim_left_ms = ticket.objective_at_ms - ticket.expected_run_ms - now_ms
        if wait_ms <= aim_left_ms * _FORESEEN_RATIO:
            return True
        left_ms = ticket.latest_start_ms - now_ms
        late = sum(1 for _ in self._late(slots, now_ms))
        return (
            late < _most_late(slots) and wait_ms <= left_ms * _FORESEEN_RATIO
        )

    def add(self, ticket: tickets.QueuedRequest) -> None:
        """Let a request wait."""
        self._waiting.append(ticket)

    def discard(self, ticket: tickets.QueuedRequest) -> None:
        """Take a request out, served or not."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def requests_to_refuse(
        self, slots: int, now_ms: float
    ) -> list[tickets.QueuedRequest]:
        """Return the requests that will get no slot in time.

        Slots that were lost and urgent requests that came later push back
        those that were admitted.
        """
        found: list[tickets.QueuedRequest] = []
        kept = 0
        for one, start_ms in self._late(slots, now_ms):
            spare_ms = one.latest_start_ms - one.objective_at_ms
            if (
                kept >= _most_late(slots)
                or start_ms > one.objective_at_ms + spare_ms * _FORESEEN_RATIO
            ):
                found.append(one)
            else:
                kept += 1
        return found

    def requests_in_order(self, now_ms: float) -> list[tickets.QueuedRequest]:
        """Return the waiting requests, the next one first."""
        return sorted(self._waiting, key=lambda one: one.sort_key(now_ms))

    def _late(
        self, slots: int, now_ms: float
    ) -> collections.abc.Iterator[tuple[tickets.QueuedRequest, float]]:
        """Iterate over those foreseen to miss their objective, with starts."""
        start_ms = now_ms
        for one in self.requests_in_order(now_ms):
            if start_ms + one.expected_run_ms > one.objective_at_ms:
                yield one, start_ms
            start_ms += one.expected_run_ms / max(1, slots)


def _most_late(slots: int) -> float:
    return max(1.0, slots * _LATE_PER_SLOT)
