"""Reads responses of targets, up to a limit as a whole."""

import collections.abc

import anyio
import httpx

from pomeloward import dispatch
from pomeloward.relay import admittedrequest
from pomeloward.relay import bodyrest
from pomeloward.relay import heldbytes
from pomeloward.relay import targetresponse

# Bodies up to this size are read completely before anything is passed on, so
# that another attempt can replace a response that ends early.
MAX_BUFFERED_BYTES = 256 * 1024
# How long the body of a response is read that nobody needs. The proof that a
# request has not run is complete with the head, and another target waits.
_MAX_DISCARD_S = 0.05
_BODILESS_STATUSES = frozenset({204, 304})


async def read_response(
    request: admittedrequest.AdmittedRequest,
    response: httpx.Response,
    held_bytes: heldbytes.HeldBytes,
) -> targetresponse.TargetResponse:
    """Return a response, completely read unless its body is large.

    What was read counts in ``held_bytes`` until the response is closed, or
    was passed on.
    """
    status = response.status_code
    headers = dispatch.clean(response.headers.raw)
    held = held_bytes.open()
    try:
        body_start, chunks = await _read_start(response, held)
        if chunks is None:
            await response.aclose()
    except BaseException:
        held.release()
        raise
    body_rest = None
    if chunks is not None:
        body_rest = bodyrest.BodyRest(response, chunks, request.deadline_ms)
    elif request.method != "HEAD" and status not in _BODILESS_STATUSES:
        headers = [
            header for header in headers if header[0] != b"content-length"
        ]
        headers.append((b"content-length", b"%d" % len(body_start)))
    return targetresponse.TargetResponse(
        status, headers, body_start, body_rest, held=held
    )


async def discard_body(response: httpx.Response) -> None:
    """Read a body that ends soon, so that its connection can be kept.

    Otherwise the connection is closed.
    """
    with anyio.move_on_after(_MAX_DISCARD_S):
        await _skip(response, MAX_BUFFERED_BYTES)
    with anyio.CancelScope(shield=True):
        await response.aclose()


async def _skip(response: httpx.Response, limit_bytes: int) -> None:
    """Read a body until it ends or exceeds ``limit_bytes``; keep nothing."""
    stream = response.stream
    assert isinstance(stream, httpx.AsyncByteStream)
    read_bytes = 0
    async for chunk in stream:
        read_bytes += len(chunk)
        if read_bytes > limit_bytes:
            return


async def _read_start(
    response: httpx.Response, held: heldbytes.HeldAnswer
) -> tuple[bytes, collections.abc.AsyncIterator[bytes] | None]:
    """Read a body until it ends, or no more of it may be buffered.

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
        may_buffer = held.add(len(chunk))
        if read_bytes > MAX_BUFFERED_BYTES or not may_buffer:
            return b"".join(read_chunks), chunks
    return b"".join(read_chunks), None
