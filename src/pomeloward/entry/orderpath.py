"""Runs requests that may run at most once."""

import hashlib

import anyio

from pomeloward import dispatch
from pomeloward import model
from pomeloward import orders
from pomeloward.entry import steps

# A recorded answer is kept at several hosts for the retry horizon.
_ANSWER_BYTES = 256 * 1024
_SETTLE_S = 1.0
_NEVER_RECORDED = frozenset({b"date", b"connection"})


class OrderTooLong(model.PomelowardError):
    """The answer to an order is too long to be recorded."""


def digest(method: str, target_path: bytes, body: bytes) -> bytes:
    """Return what two orders under one idempotency key must share."""
    hashed = hashlib.sha256(method.encode("ascii") + b"\0" + target_path)
    hashed.update(b"\0" + body)
    return hashed.digest()


class OrderRun:
    """One run of an order under its claim.

    From its first byte on, a run goes on to its answer even when the caller
    leaves, so that the answer is there for the caller's repeat; the
    deadline still bounds it. Whatever happens, the claim is settled once.
    """

    def __init__(
        self, claim: steps.Claim, request: dispatch.TargetRequest
    ) -> None:
        self._claim = claim
        self._request = request
        self._scope = anyio.CancelScope()
        self._is_settled = False
        request.may_send = self._may_send

    async def run(
        self, dispatcher: dispatch.Dispatcher
    ) -> orders.RecordedAnswer | dispatch.Failed:
        """Dispatch the order and record how it ended."""
        try:
            with self._scope:
                return await self._run(dispatcher)
        finally:
            if not self._is_settled:
                with anyio.move_on_after(_SETTLE_S, shield=True):
                    await self._settle_failed(self._request.evidence.proof)
        raise AssertionError("an order's own scope is never cancelled")

    async def _run(
        self, dispatcher: dispatch.Dispatcher
    ) -> orders.RecordedAnswer | dispatch.Failed:
        result = await dispatcher.send(self._request)
        if result.is_error():
            await self._settle_failed(result.error.proof)
            return result.error
        try:
            answer = await _read(result.ok)
        except (dispatch.AnswerCut, OrderTooLong) as error:
            await self._settle_failed(None)
            return dispatch.Failed(
                model.Refusal(model.ErrorKind.TARGET_FAILED, str(error)), None
            )
        self._is_settled = True
        await self._claim.finish(answer)
        return answer

    def _may_send(self, now_ms: float) -> bool:
        if not self._claim.is_valid(now_ms):
            return False
        self._scope.shield = True
        return True

    async def _settle_failed(self, proof: model.NotRunProof | None) -> None:
        self._is_settled = True
        if proof is None:
            await self._claim.abandon()
        else:
            await self._claim.clear(proof)


async def _read(answer: dispatch.Answer) -> orders.RecordedAnswer:
    try:
        parts = []
        size = 0
        async for chunk in answer.chunks():
            size += len(chunk)
            if size > _ANSWER_BYTES:
                raise OrderTooLong("the answer to an order is too long")
            parts.append(chunk)
    finally:
        with anyio.CancelScope(shield=True):
            await answer.aclose()
    headers = tuple(
        pair for pair in answer.headers if pair[0] not in _NEVER_RECORDED
    )
    return orders.RecordedAnswer(answer.status, headers, b"".join(parts))
