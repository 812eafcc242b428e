"""Reads responses of targets, up to a limit as a whole."""

import collections.abc

import anyio
import httpx

from pomeloward import dispatch
from pomeloward.relay import admittedrequest
from pomeloward.relay import targetresponse

# Bodies up to this size are read completely before anything is passed on, so
# that another attempt can replace a response that ends early.
MAX_BUFFERED_BYTES = 256 * 1024
_BODILESS_STATUSES = frozenset({204, 304})


async def read_response(
    request: admittedrequest.AdmittedRequest, response: httpx.Response
) -> targetresponse.TargetResponse:
    """Return a response, completely read unless its body is large."""
    status = response.status_code
    headers = dispatch.clean(response.headers.raw)
    body_start, body_rest = await read_up_to(response, MAX_BUFFERED_BYTES)
    if body_rest is None:
        await response.aclose()
        if request.method != "HEAD" and status not in _BODILESS_STATUSES:
            headers = [
                header for header in headers if header[0] != b"content-length"
            ]
            headers.append((b"content-length", b"%d" % len(body_start)))
    return targetresponse.TargetResponse(
        status, headers, body_start, body_rest
    )


async def read_up_to(
    response: httpx.Response, limit_bytes: int
) -> tuple[bytes, collections.abc.AsyncIterator[bytes] | None]:
    """Read a body until it ends or exceeds ``limit_bytes``.

    Returns the bytes read, and an iterator over the remaining chunks, or
    None if the body has ended.
    """
    stream = response.stream
    assert isinstance(stream, httpx.AsyncByteStream)
    read_chunks: list[bytes] = []
    read_bytes = 0
    chunks = stream.__aiter__()
    async for chunk in chunks:
        read_chunks.append(chunk)
        read_bytes += len(chunk)
        if read_bytes > limit_bytes:
            return b"".join(read_chunks), _iter_rest(response, chunks)
    return b"".join(read_chunks), None


async def _iter_rest(
    response: httpx.Response, chunks: collections.abc.AsyncIterator[bytes]
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the remaining chunks of a response, then close it."""
    try:
        async for chunk in chunks:
            yield chunk
    except httpx.HTTPError as error:
        raise dispatch.AnswerCut(type(error).__name__) from error
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()
