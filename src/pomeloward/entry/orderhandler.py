"""The steps of a request that may run at most once."""

import anyio
import expression

from pomeloward import dispatch
from pomeloward import model
from pomeloward import orders
from pomeloward import settings
from pomeloward.entry import body as bodies
from pomeloward.entry import callerrequest
from pomeloward.entry import grant as grants
from pomeloward.entry import orderpath
from pomeloward.entry import steps

_CLEAR_S = 1.0

OrderResult = expression.Result[orders.RecordedAnswer, model.Refusal]


class OrderHandler:
    """Claims an order, runs it under its claim, and records its answer."""

    def __init__(
        self,
        claims: steps.Orders,
        budget: steps.Budget,
        dispatcher: dispatch.Dispatcher,
        limits: settings.Limits,
    ) -> None:
        self._claims = claims
        self._budget = budget
        self._dispatcher = dispatcher
        self._limits = limits

    async def run(
        self,
        request: callerrequest.CallerRequest,
        outgoing: dispatch.TargetRequest,
        body: bodies.RequestBody,
    ) -> OrderResult:
        """Return the answer of this run or of an earlier one."""
        if request.order_key is None:
            return expression.Error(
                model.Refusal(
                    model.ErrorKind.ORDER_KEY_MISSING,
                    "the route needs an Idempotency-Key",
                )
            )
        data = await body.read_whole(self._limits.order_body_bytes)
        digest = orderpath.digest(request.method, request.target_path, data)
        claimed = await self._claim(outgoing, request.order_key, digest)
        if claimed.is_error():
            return expression.Error(claimed.error)
        if claimed.ok.answer is not None:
            return expression.Ok(claimed.ok.answer)
        too_much = await self._take_rate(claimed.ok, outgoing)
        if too_much is not None:
            return expression.Error(too_much)
        run = orderpath.OrderRun(claimed.ok, outgoing)
        ended = await run.run(self._dispatcher)
        if isinstance(ended, dispatch.Failed):
            return expression.Error(ended.refusal)
        return expression.Ok(ended)

    async def _claim(
        self, outgoing: dispatch.TargetRequest, key: str, digest: bytes
    ) -> expression.Result[steps.Claim, model.Refusal]:
        """Claim an order while its deadline allows."""
        with anyio.CancelScope(deadline=outgoing.deadline_ms / 1_000):
            return await self._claims.claim(
                outgoing.team, outgoing.route.id, key, digest
            )
        return expression.Error(
            model.Refusal(
                model.ErrorKind.ORDER_OWNER_UNAVAILABLE,
                "the order could not be claimed before its deadline",
                retry_after_ms=1_000,
            )
        )

    async def _take_rate(
        self, claim: steps.Claim, outgoing: dispatch.TargetRequest
    ) -> model.Refusal | None:
        """Take a token under a claim; the claim never outlives a refusal."""
        if outgoing.team == grants.NO_TEAM:
            return None
        is_taken = False
        try:
            taken = await self._budget.take(outgoing.team)
            is_taken = taken.is_ok()
            return None if is_taken else taken.error
        finally:
            proof = outgoing.evidence.proof
            if not is_taken and proof is not None:
                with anyio.move_on_after(_CLEAR_S, shield=True):
                    await claim.clear(proof)
