"""Reads targets' answers, whole where they are not too large."""

import collections.abc

import anyio
import httpx

from pomeloward import dispatch
from pomeloward.relay import admittedrequest
from pomeloward.relay import targetresponse

# Answers up to this size are read whole before any of it is passed on, so
# that one which is cut short can be replaced.
MAX_BUFFERED_BYTES = 256 * 1024
_BODYLESS = frozenset({204, 304})


async def read_response(
    call: admittedrequest.AdmittedRequest, response: httpx.Response
) -> targetresponse.TargetResponse:
    """Read an answer, whole if it is not too large."""
    status = response.status_code
    headers = dispatch.clean(response.headers.raw)
    body, rest = await read_up_to(response, MAX_BUFFERED_BYTES)
    if rest is None:
        await response.aclose()
        if call.method != "HEAD" and status not in _BODYLESS:
            headers = [
                pair for pair in headers if pair[0] != b"content-length"
            ]
            headers.append((b"content-length", b"%d" % len(body)))
    return targetresponse.TargetResponse(status, headers, body, rest)


async def read_up_to(
    response: httpx.Response, limit_bytes: int
) -> tuple[bytes, collections.abc.AsyncIterator[bytes] | None]:
    """Return the first bytes, and an iterator over more if there is more."""
    stream = response.stream
    assert isinstance(stream, httpx.AsyncByteStream)
    parts: list[bytes] = []
    size = 0
    chunks = stream.__aiter__()
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > limit_bytes:
            return b"".join(parts), _rest(response, chunks)
    return b"".join(parts), None


async def _rest(
    response: httpx.Response, chunks: collections.abc.AsyncIterator[bytes]
) -> collections.abc.AsyncIterator[bytes]:
    try:
        async for chunk in chunks:
            yield chunk
    except httpx.HTTPError as error:
        raise dispatch.AnswerCut(type(error).__name__) from error
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()
