"""The line in front of one service, for the load that exceeds its slots."""

from pomeloward.pending import ticket as tickets


class Line:
    """Orders waiting requests and refuses those that can't be in time.

    The line answers two loads: bursts above the slots of a service, where
    the urgent go first, and the loss of targets, where the rest is refused
    at once, waiting or new, with the time until the line is shorter.
    """

    def __init__(self) -> None:
        self._waiting: list[tickets.Ticket] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def foreseen_ms(
        self, ticket: tickets.Ticket, slots: int, now_ms: float
    ) -> float:
        """Return how long a request would wait in the line as it is."""
        place = ticket.order(now_ms)
        ahead = [one for one in self._waiting if one.order(now_ms) <= place]
        work_ms = sum(one.run_ms for one in ahead) + ticket.run_ms
        return work_ms / max(1, slots)

    def admits(
        self, ticket: tickets.Ticket, slots: int, now_ms: float
    ) -> bool:
        """Tell whether a request that has to wait can be in time."""
        if slots <= 0:
            return False
        wait_ms = self.foreseen_ms(ticket, slots, now_ms)
        return now_ms + wait_ms <= ticket.latest_start_ms

    def enter(self, ticket: tickets.Ticket) -> None:
        """Let a request wait."""
        self._waiting.append(ticket)

    def leave(self, ticket: tickets.Ticket) -> None:
        """Take a request out, served or not."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def overdue(self, slots: int, now_ms: float) -> list[tickets.Ticket]:
        """Return the requests that can't start in time any more.

        Slots that were lost and urgent requests that came later push back
        those that were admitted.
        """
        found: list[tickets.Ticket] = []
        ahead_ms = 0.0
        for one in self.in_order(now_ms):
            if now_ms + ahead_ms / max(1, slots) > one.latest_start_ms:
                found.append(one)
            else:
                ahead_ms += one.run_ms
        return found

    def in_order(self, now_ms: float) -> list[tickets.Ticket]:
        """Return the waiting requests, the next one first."""
        return sorted(self._waiting, key=lambda one: one.order(now_ms))
