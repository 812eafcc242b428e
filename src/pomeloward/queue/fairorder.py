"""Start-time fair queueing between teams.

P. Goyal, H. Vin and H. Cheng, "Start-time fair queueing: a scheduling
algorithm for integrated services packet switching networks" (1996).
"""

import bisect
import collections.abc
import heapq

from pomeloward import model
from pomeloward.queue import ticket as ticket_

_Position = tuple[float, int]


class FairOrder:
    """Waiting tickets of one class, in the order they are served.

    A ticket's start tag is the later of the virtual time and its team's last
    finish tag; the finish tag is one request over the team's weight later.
    The virtual time is the start tag of the ticket served last. Tickets with
    equal tags go in the order of their arrival.
    """

    def __init__(self) -> None:
        self._waiting: dict[
            model.TeamId, list[tuple[_Position, ticket_.Ticket]]
        ] = {}
        self._finish: dict[model.TeamId, float] = {}
        self._virtual = 0.0
        self._number = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def place(self, ticket: ticket_.Ticket) -> None:
        """Give a ticket its position unless it has one."""
        if ticket.position is not None:
            return
        start = max(self._virtual, self._finish.get(ticket.team, 0.0))
        self._finish[ticket.team] = start + 1.0 / ticket.weight
        self._number += 1
        ticket.position = (start, self._number)

    def push(self, ticket: ticket_.Ticket) -> None:
        """Let a ticket wait at its position.

        Within a team, who arrived first goes first: requests that wait for
        tokens of their rate come here together, in any order.
        """
        self.place(ticket)
        assert ticket.position is not None
        line = self._waiting.setdefault(ticket.team, [])
        index = bisect.bisect(line, ticket.position, key=_position)
        line.insert(index, (ticket.position, ticket))
        while index and line[index - 1][1].arrived_ms > ticket.arrived_ms:
            _swap(line, index)
            index -= 1
        self._length += 1

    def remove(self, ticket: ticket_.Ticket) -> bool:
        """Take a ticket out; return whether it was waiting."""
        line = self._waiting.get(ticket.team, [])
        for index, (_, other) in enumerate(line):
            if other is ticket:
                del line[index]
                self._length -= 1
                if not line:
                    del self._waiting[ticket.team]
                return True
        return False

    def serve(self, ticket: ticket_.Ticket) -> None:
        """Advance the virtual time to a ticket that gets its slot."""
        if ticket.position is not None:
            self._virtual = max(self._virtual, ticket.position[0])
        if not self._waiting:
            self._forget()

    def in_order(self) -> collections.abc.Iterator[ticket_.Ticket]:
        """Iterate over the tickets in the order they are served.

        The iterator ends with the next change.
        """
        lines = self._waiting.values()
        for _, ticket in heapq.merge(*lines, key=_position):
            yield ticket

    def first(self) -> ticket_.Ticket | None:
        """Return the ticket that is served next."""
        if not self._waiting:
            return None
        return min(
            (line[0] for line in self._waiting.values()), key=_position
        )[1]

    def counts(self) -> dict[model.TeamId, int]:
        """Return the number of waiting tickets of each team."""
        return {team: len(line) for team, line in self._waiting.items()}

    def last_of(self, team: model.TeamId) -> ticket_.Ticket:
        """Return the ticket of a team that would be served last."""
        return self._waiting[team][-1][1]

    def ahead(self, ticket: ticket_.Ticket) -> int:
        """Return the number of waiting tickets that are served before."""
        if ticket.position is None:
            return self._length
        return sum(
            bisect.bisect_left(line, ticket.position, key=_position)
            for line in self._waiting.values()
        )

    def _forget(self) -> None:
        """Drop finish tags that no longer matter, to bound their number."""
        self._finish = {
            team: finish
            for team, finish in self._finish.items()
            if finish > self._virtual
        }


def _swap(line: list[tuple[_Position, ticket_.Ticket]], index: int) -> None:
    """Let a ticket change places with the one before it."""
    (early, before), (late, ticket) = line[index - 1], line[index]
    before.position, ticket.position = late, early
    line[index - 1], line[index] = (early, ticket), (late, before)


def _position(entry: tuple[_Position, ticket_.Ticket]) -> _Position:
    return entry[0]
