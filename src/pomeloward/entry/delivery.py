"""Passes a target's answer on to the caller."""

import anyio

from pomeloward import dispatch
from pomeloward.entry import exchange as exchanges


async def deliver(
    answer: dispatch.Answer, exchange: exchanges.Exchange
) -> None:
    """Stream an answer, one chunk at a time.

    Raises ``dispatch.AnswerCut`` when the target's answer ends early; the
    caller then has to see its own answer aborted.
    """
    remaining = _length(answer.headers)
    try:
        await exchange.start(answer.status, answer.headers)
        async for chunk in answer.chunks():
            if remaining is not None:
                remaining -= len(chunk)
                if remaining == 0:
                    await exchange.finish(chunk)
                    continue
            await exchange.chunk(chunk)
        if not exchange.is_complete:
            await exchange.finish()
    finally:
        with anyio.CancelScope(shield=True):
            await answer.aclose()


def _length(headers: dispatch.Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None
