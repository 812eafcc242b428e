"""Asks a target whether a request was cancelled before it started."""

import anyio
import httpx
import msgspec

from pomeloward import model
from pomeloward import wire
from pomeloward.dispatch import link as links

# Part of the targets' published contract: the request is cancelled by its
# id, and the answer tells whether it had started.
_PATH = "/.requests/"
_ANSWER_BYTES = 4_096
# Longer than a round trip and shorter than a caller's patience.
_WAIT_S = 0.5


class _Answer(msgspec.Struct):
    run: str


async def cancel(
    link: links.Link, request: model.RequestId
) -> model.NotRunProof | None:
    """Cancel a sent request; the proof is None unless it never started."""
    outgoing = httpx.Request(
        "DELETE",
        link.base.join(_PATH + request),
        headers={"connection": "close"},
        # Its answer has no id, so that no other one may come beside it.
        extensions={
            "timeout": dict.fromkeys(_TIMEOUTS, _WAIT_S),
            wire.NEW_CONNECTION_EXTENSION: True,
        },
    )
    with anyio.move_on_after(_WAIT_S, shield=True):
        try:
            response = await link.transport.handle_async_request(outgoing)
            try:
                body = await _read(response)
                answer = msgspec.json.decode(body, type=_Answer)
            finally:
                await response.aclose()
        except (httpx.HTTPError, msgspec.MsgspecError):
            return None
        if response.status_code == 200 and answer.run == "not_run":
            return model.NotRunProof(
                model.NotRunReason.CANCELLED_BEFORE_START,
                f"cancelled request {request}",
            )
    return None


_TIMEOUTS = ("connect", "pool", "read", "write")


async def _read(response: httpx.Response) -> bytes:
    body = b""
    stream = response.stream
    assert isinstance(stream, httpx.AsyncByteStream)
    async for chunk in stream:
        body += chunk
        if len(body) > _ANSWER_BYTES:
            break
    return body
