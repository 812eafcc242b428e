"""The queue of one service, joined to the slots of the host."""

import anyio

from pomeloward import model
from pomeloward import service as service_
from pomeloward.queue import fairqueue
from pomeloward.queue import pace
from pomeloward.queue import ticket as ticket_
from pomeloward.service import demand

# Shortest time after which a refused caller should try again.
_MIN_RETRY_MS = 250.0
_MAX_RETRY_MS = 5_000.0


class Line:
    """Tickets that wait for one service, and who got a slot.

    ``wake`` has the event of each waiting ticket and ``holds`` the slots
    that tickets got but have not yet taken along. ``dropped`` has those that
    lost their place to another one.
    """

    def __init__(
        self, client: service_.ServiceClient, service: model.ServiceId
    ) -> None:
        self.queue = fairqueue.FairQueue()
        self.wake: dict[ticket_.Ticket, anyio.Event] = {}
        self.holds: dict[ticket_.Ticket, service_.SlotHold] = {}
        self._dropped: set[ticket_.Ticket] = set()
        self._client = client
        self._service = service
        self._pace = pace.Pace()

    def enter(
        self, ticket: ticket_.Ticket, now_ms: float
    ) -> model.Refusal | None:
        """Put a ticket at its place, or refuse what cannot be in time.

        A ticket that returns after a target shed it is not refused for the
        length of the queue.
        """
        is_new = ticket.position is None
        dropped = self.queue.push(ticket)
        if dropped is not None and dropped is not ticket:
            self._drop(dropped)
        wait_ms = self._pace.wait_ms(self.queue.ahead(ticket), now_ms)
        is_late = now_ms + (wait_ms if is_new else 0.0) >= (
            self.latest_start_ms(ticket)
        )
        if dropped is ticket or is_late:
            self.queue.remove(ticket)
            self._want()
            return self._refusal(
                model.ErrorKind.QUEUE_FULL, "The queue is full.", wait_ms
            )
        return None

    def latest_start_ms(self, ticket: ticket_.Ticket) -> float:
        """Return when a ticket has to start to meet its deadline."""
        return pace.latest_start_ms(
            ticket.arrived_ms,
            ticket.deadline_ms,
            self._client.usual_run_ms(self._service),
        )

    def serve(self, now_ms: float) -> None:
        """Give free slots to tickets, in order."""
        while self._serve_one(now_ms):
            pass
        self._want()

    def leave(self, ticket: ticket_.Ticket, now_ms: float) -> model.Refusal:
        """Take out a ticket that got no slot in time."""
        self.wake.pop(ticket, None)
        if ticket in self._dropped:
            self._dropped.discard(ticket)
            return self._refusal(
                model.ErrorKind.QUEUE_FULL, "The queue is full.", 0.0
            )
        self.queue.remove(ticket)
        self._want()
        wait_ms = self._pace.wait_ms(len(self.queue), now_ms)
        return self._refusal(
            model.ErrorKind.QUEUE_TIMEOUT,
            "No slot came free before the deadline.",
            wait_ms,
        )

    def abandon(self, ticket: ticket_.Ticket, now_ms: float) -> None:
        """Take out a ticket whose caller is gone, and reuse its slot."""
        self.wake.pop(ticket, None)
        self._dropped.discard(ticket)
        self.queue.remove(ticket)
        hold = self.holds.pop(ticket, None)
        if hold is not None:
            hold.release(service_.Outcome.CANCELLED, 0.0)
        self.serve(now_ms)

    def _serve_one(self, now_ms: float) -> bool:
        tried: set[frozenset[model.TargetId]] = set()
        for ticket in self.queue.in_order():
            avoid = frozenset(ticket.avoid)
            if any(avoid >= earlier for earlier in tried):
                continue
            team = demand.DEFERRABLE if ticket.is_deferrable else ticket.team
            hold = self._client.try_acquire(
                self._service, avoid, ticket.route, team
            )
            if hold is not None:
                self._admit(ticket, hold, now_ms)
                return True
            if not avoid:
                return False
            tried.add(avoid)
        return False

    def _admit(
        self, ticket: ticket_.Ticket, hold: service_.SlotHold, now_ms: float
    ) -> None:
        self.queue.serve(ticket)
        self._pace.served(now_ms, has_waiting=len(self.queue) > 0)
        self.holds[ticket] = hold
        event = self.wake.pop(ticket, None)
        if event is not None:
            event.set()

    def _drop(self, ticket: ticket_.Ticket) -> None:
        self._dropped.add(ticket)
        event = self.wake.pop(ticket, None)
        if event is not None:
            event.set()

    def _want(self) -> None:
        self._client.wanted(self._service, self.queue.waiting())

    @staticmethod
    def _refusal(
        kind: model.ErrorKind, detail: str, wait_ms: float
    ) -> model.Refusal:
        retry_ms = min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, wait_ms))
        return model.Refusal(kind, detail, retry_ms)
