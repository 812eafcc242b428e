"""The steps that dispatch needs from the rest of a host."""

import collections.abc
import typing

import expression

from pomeloward import catalog
from pomeloward import model
from pomeloward import queue
from pomeloward import service


class SlotHold(typing.Protocol):
    """A slot of a target that this host may use for one request."""

    @property
    def target(self) -> model.TargetId:
        """The target whose slot it is."""

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether a request may still be sent under this slot."""

    def release(self, outcome: service.Outcome, latency_ms: float) -> None:
        """Give the slot back with the evidence of the attempt."""


class Admission(typing.Protocol):
    """The queue in front of a service."""

    async def acquire(
        self, ticket: queue.Ticket
    ) -> expression.Result[service.SlotHold, model.Refusal]:
        """Wait for a slot until the ticket's deadline."""


class SpareSlots(typing.Protocol):
    """Slots that are free now, for hedged attempts."""

    def try_acquire(
        self,
        service: model.ServiceId,
        avoid: collections.abc.Set[model.TargetId],
        route: model.RouteId,
        team: model.TeamId,
    ) -> service.SlotHold | None:
        """Take a free slot of another target."""


class Targets(typing.Protocol):
    """Where targets are reached."""

    def target(
        self, service: model.ServiceId, target: model.TargetId
    ) -> catalog.Target | None:
        """Return the record of a service's target, None when it is gone."""

    def find(self, target: model.TargetId) -> catalog.Target | None:
        """Return a target's record by its id alone, which takes longer."""

    def count(self, service: model.ServiceId) -> int:
        """Return the number of targets of a service."""

    def connections(self, target: catalog.Target) -> int:
        """Return how many connections this host may open to a target."""
