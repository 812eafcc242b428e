"""The bounded queue of one service on one host."""

import collections.abc

from pomeloward import model
from pomeloward.queue import fairorder
from pomeloward.queue import ticket as ticket_
from pomeloward.service import demand

# At 10 ms a request this is 5 s of work for one slot, half the usual
# deadline; a longer queue only makes requests late.
MAX_WAITING = 512


class FairQueue:
    """Waiting tickets of all teams, with a lower class for deferrable ones.

    A deferrable ticket is served when nothing else waits, and besides gets
    one of 20 slots. When the queue is full, the team with the most waiting
    tickets for its weight loses its last one.
    """

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._urgent = fairorder.FairOrder()
        self._deferrable = fairorder.FairOrder()
        self._credit = 0.0

    def __len__(self) -> int:
        return len(self._urgent) + len(self._deferrable)

    def push(self, ticket: ticket_.Ticket) -> ticket_.Ticket | None:
        """Let a ticket wait; return the one dropped for it, if any."""
        self._class(ticket).push(ticket)
        if len(self) <= self._max_waiting:
            return None
        dropped = self._longest().last_of(self._longest_team())
        self.remove(dropped)
        return dropped

    def remove(self, ticket: ticket_.Ticket) -> bool:
        """Take a ticket out; return whether it was waiting."""
        return self._class(ticket).remove(ticket)

    def serve(self, ticket: ticket_.Ticket) -> None:
        """Take a ticket out because it gets a slot."""
        order = self._class(ticket)
        order.place(ticket)
        order.remove(ticket)
        order.serve(ticket)
        if ticket.is_deferrable:
            self._credit = max(0.0, self._credit - 1.0)
        elif len(self._deferrable):
            self._credit += demand.DEFERRABLE_SHARE / (
                1 - demand.DEFERRABLE_SHARE
            )

    def in_order(self) -> collections.abc.Iterator[ticket_.Ticket]:
        """Iterate over the tickets in the order they are served next."""
        first, second = self._urgent, self._deferrable
        if self._credit >= 1.0 - 1e-9:
            first, second = second, first
        yield from first.in_order()
        yield from second.in_order()

    def ahead(self, ticket: ticket_.Ticket) -> int:
        """Return how many waiting tickets are served before a ticket."""
        count = self._class(ticket).ahead(ticket)
        return count + (len(self._urgent) if ticket.is_deferrable else 0)

    def waiting(self) -> dict[model.TeamId, int]:
        """Return the demand: tickets per team, deferrable ones together."""
        counts = self._urgent.counts()
        if len(self._deferrable):
            counts[demand.DEFERRABLE] = len(self._deferrable)
        return counts

    def _class(self, ticket: ticket_.Ticket) -> fairorder.FairOrder:
        return self._deferrable if ticket.is_deferrable else self._urgent

    def _longest(self) -> fairorder.FairOrder:
        is_deferrable = len(self._deferrable) > self._max_waiting // 2
        if is_deferrable or not len(self._urgent):
            return self._deferrable
        return self._urgent

    def _longest_team(self) -> model.TeamId:
        order = self._longest()
        counts = order.counts()
        return max(
            counts,
            key=lambda team: (
                counts[team] / order.last_of(team).weight,
                team,
            ),
        )
