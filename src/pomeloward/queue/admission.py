"""Lets requests wait for slots in a fair order."""

import collections.abc

import anyio
import expression

from pomeloward import model
from pomeloward import service as service_
from pomeloward.queue import line as line_
from pomeloward.queue import ticket as ticket_

Admitted = expression.Result[service_.SlotHold, model.Refusal]


class Admission:
    """The queues of all services on a host.

    ``acquire`` returns a slot or a refusal; a refused request did not run.
    Slots go to the tickets in the order of the queue. A ticket that cannot
    use a slot, since it already was at that target, lets the next one have
    it and keeps its place.
    """

    def __init__(
        self,
        client: service_.ServiceClient,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._client = client
        self._clock = clock
        self._lines: dict[model.ServiceId, line_.Line] = {}

    async def acquire(self, ticket: ticket_.Ticket) -> Admitted:
        """Wait for a slot until the ticket's deadline."""
        line = self._line(ticket.service)
        refusal = line.enter(ticket, self._clock())
        if refusal is not None:
            return expression.Error(refusal)
        event = anyio.Event()
        line.wake[ticket] = event
        try:
            line.serve(self._clock())
            while ticket in line.wake:
                left_ms = line.latest_start_ms(ticket) - self._clock()
                if left_ms <= 0:
                    break
                with anyio.move_on_after(left_ms / 1000):
                    await event.wait()
            hold = line.holds.pop(ticket, None)
        except BaseException:
            line.abandon(ticket, self._clock())
            raise
        if hold is not None:
            return expression.Ok(hold)
        return expression.Error(line.leave(ticket, self._clock()))

    def waiting(self, service: model.ServiceId) -> int:
        """Return how many requests wait for a service."""
        return len(self._line(service).queue)

    def _line(self, service: model.ServiceId) -> line_.Line:
        line = self._lines.get(service)
        if line is None:
            line = line_.Line(self._client, service)
            self._lines[service] = line
            new = line
            self._client.watch(service, lambda: new.serve(self._clock()))
        return line
