"""Claims of orders for a host that works by itself."""

import secrets

import expression

from pomeloward import entry
from pomeloward import model
from pomeloward import orders

_Key = tuple[model.TeamId, model.RouteId, str]


class _Claim:
    """A claim in the memory of this host."""

    def __init__(
        self,
        owner: "LocalOrders",
        key: _Key,
        answer: orders.RecordedAnswer | None = None,
    ) -> None:
        self._owner = owner
        self._key = key
        self.answer = answer

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether the permit still allows a dispatch."""
        return True

    async def finish(self, answer: orders.RecordedAnswer) -> None:
        """Record the answer of the run."""
        self._owner.answers[self._key] = answer

    async def clear(self, proof: model.NotRunProof) -> None:
        """Give the claim back after a run that did not happen."""
        del self._owner.digests[self._key]

    async def abandon(self) -> None:
        """Leave the claim with an unknown run."""


class LocalOrders:
    """Remembers every claim since the start of the process."""

    def __init__(self) -> None:
        self.digests: dict[_Key, bytes] = {}
        self.answers: dict[_Key, orders.RecordedAnswer] = {}

    async def claim(
        self,
        team: model.TeamId,
        route: model.RouteId,
        key: str,
        body_digest: bytes,
    ) -> expression.Result[entry.Claim, model.Refusal]:
        """Claim an order under its idempotency key."""
        full_key = (team, route, key)
        known = self.digests.get(full_key)
        if known is None:
            self.digests[full_key] = body_digest
            return expression.Ok(_Claim(self, full_key))
        if known != body_digest:
            return expression.Error(
                model.Refusal(
                    model.ErrorKind.ORDER_CONFLICT,
                    "the key was used for another request",
                )
            )
        answer = self.answers.get(full_key)
        if answer is None:
            return expression.Error(
                model.Refusal(
                    model.ErrorKind.ORDER_UNKNOWN,
                    "an earlier run has not ended or is unknown",
                )
            )
        return expression.Ok(_Claim(self, full_key, answer))

    async def issue(
        self, team: model.TeamId, count: int
    ) -> expression.Result[list[str], model.Refusal]:
        """Issue order ids."""
        return expression.Ok([secrets.token_urlsafe(18) for _ in range(count)])
