"""The steps that dispatch needs from the rest of a host."""

import typing

import expression

from pomeloward import catalog
from pomeloward import model
from pomeloward.dispatch import outcome as outcomes
from pomeloward.dispatch import ticket as tickets


class SlotHold(typing.Protocol):
    """A slot of a target that this host may use for one request."""

    @property
    def target(self) -> model.TargetId:
        """The target whose slot it is."""

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether a request may still be sent under this slot."""

    def release(self, outcome: outcomes.Outcome, latency_ms: float) -> None:
        """Give the slot back with the evidence of the attempt."""


class Admission(typing.Protocol):
    """The queue in front of a service."""

    async def acquire(
        self, ticket: tickets.Ticket
    ) -> expression.Result[SlotHold, model.Refusal]:
        """Wait for a slot until the ticket's deadline."""

    def try_acquire(
        self,
        service: model.ServiceId,
        avoid: typing.AbstractSet[model.TargetId],
    ) -> SlotHold | None:
        """Take a spare slot without waiting, for a hedged attempt."""


class Targets(typing.Protocol):
    """Where targets are reached."""

    def target(self, target: model.TargetId) -> catalog.Target | None:
        """Return a target's record, None when it is gone."""

    def connections(self, target: catalog.Target) -> int:
        """Return how many connections this host may open to a target."""
