"""The steps that entry needs from the rest of a host."""

import collections.abc
import typing

import expression

from pomeloward import catalog
from pomeloward import model
from pomeloward import orders


class Budget(typing.Protocol):
    """Takes tokens of teams' rates."""

    async def take(
        self, team: model.TeamId
    ) -> expression.Result[None, model.Refusal]:
        """Take one token, or refuse the request."""


class Claim(typing.Protocol):
    """An order's claim: a recorded answer or a permit to run it."""

    @property
    def answer(self) -> orders.RecordedAnswer | None:
        """The answer of an earlier run, None when this one may run."""

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether the permit still allows a dispatch."""

    async def finish(self, answer: orders.RecordedAnswer) -> None:
        """Record the answer of the run."""

    async def clear(self, proof: model.NotRunProof) -> None:
        """Give the claim back after a run that did not happen."""

    async def abandon(self) -> None:
        """Leave the claim with an unknown run."""


class Orders(typing.Protocol):
    """Claims of requests that run at most once."""

    async def claim(
        self,
        team: model.TeamId,
        route: model.RouteId,
        key: str,
        body_digest: bytes,
    ) -> expression.Result[Claim, model.Refusal]:
        """Claim an order under its idempotency key."""

    async def issue(
        self, team: model.TeamId, count: int
    ) -> expression.Result[list[str], model.Refusal]:
        """Issue order ids."""


class HostAddress(typing.Protocol):
    """Where callers reach a host."""

    @property
    def address(self) -> str:
        """The IP address."""

    @property
    def port(self) -> int:
        """The port for callers."""


class AddressAnswer(typing.Protocol):
    """The addresses that a caller may use, and for how long."""

    @property
    def addresses(self) -> collections.abc.Sequence[HostAddress]:
        """Addresses, the best first."""

    @property
    def lifetime_ms(self) -> float:
        """How long the caller may keep the answer."""


class AddressBook(typing.Protocol):
    """Tells callers which hosts to use."""

    def answer(
        self, team: model.TeamId | None, now_ms: float
    ) -> AddressAnswer:
        """Return the addresses for a team, or for open routes."""


class HostStatus(typing.Protocol):
    """What a host knows about itself."""

    @property
    def state(self) -> model.HostState:
        """Starting, ready or draining."""

    @property
    def view(self) -> catalog.View:
        """The configuration in force."""

    def has_standing(self, now_ms: float) -> bool:
        """Tell whether the host hears enough of the others."""

    def details(self) -> dict[str, typing.Any]:
        """Return facts for the status page, without secrets."""
