"""Slots of targets for a host that works by itself."""

import collections
import collections.abc
import typing

import anyio
import expression

from pomeloward import catalog
from pomeloward import dispatch
from pomeloward import model


class _Hold:
    """One slot; it stays valid, since no other host lends it."""

    def __init__(self, slots: "LocalSlots", target: catalog.Target) -> None:
        self._slots = slots
        self._record = target
        self.target = target.id

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether a request may still be sent under this slot."""
        return True

    def release(self, outcome: dispatch.Outcome, latency_ms: float) -> None:
        """Give the slot back."""
        self._slots.give_back(self._record)


class LocalSlots:
    """Counts slots per target and makes requests wait in their order."""

    def __init__(
        self, view: collections.abc.Callable[[], catalog.View]
    ) -> None:
        self._view = view
        self._used: collections.Counter[model.TargetId] = collections.Counter()
        self._waiting: dict[
            model.ServiceId, collections.deque[anyio.Event]
        ] = collections.defaultdict(collections.deque)

    async def acquire(
        self, ticket: dispatch.Ticket
    ) -> expression.Result[dispatch.SlotHold, model.Refusal]:
        """Wait for a slot until the ticket's deadline."""
        while True:
            hold = self.try_acquire(ticket.service, ticket.avoid)
            if hold is None and ticket.avoid:
                # A target that failed once is better than none.
                hold = self.try_acquire(ticket.service, frozenset())
            if hold is not None:
                return expression.Ok(hold)
            if not await self._wait(ticket):
                return expression.Error(
                    model.Refusal(
                        model.ErrorKind.QUEUE_TIMEOUT,
                        "no slot became free",
                        retry_after_ms=1_000,
                    )
                )

    def try_acquire(
        self,
        service: model.ServiceId,
        avoid: typing.AbstractSet[model.TargetId],
    ) -> dispatch.SlotHold | None:
        """Take a slot of the least used target."""
        record = self._view().service(service)
        if record is None:
            return None
        best: catalog.Target | None = None
        for target in self._view().targets(service):
            slots = target.slots or record.slots_per_target
            used = self._used[target.id]
            if target.is_leaving or target.id in avoid or used >= slots:
                continue
            if best is None or used < self._used[best.id]:
                best = target
        if best is None:
            return None
        self._used[best.id] += 1
        return _Hold(self, best)

    def give_back(self, target: catalog.Target) -> None:
        """Free a slot and wake the longest waiting request."""
        self._used[target.id] -= 1
        waiting = self._waiting[target.service]
        if waiting:
            waiting.popleft().set()

    async def _wait(self, ticket: dispatch.Ticket) -> bool:
        event = anyio.Event()
        waiting = self._waiting[ticket.service]
        waiting.append(event)
        wait_s = ticket.deadline_ms / 1_000 - anyio.current_time()
        try:
            with anyio.move_on_after(max(0.0, wait_s)):
                await event.wait()
                return True
            return False
        finally:
            if event in waiting:
                waiting.remove(event)
