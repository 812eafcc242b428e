"""Lets the HTTP transport read the body of a caller's request."""

import collections.abc

import httpx

from pomeloward import dispatch


class RequestBodyStream(httpx.AsyncByteStream):
    """Reads a request body from its start."""

    def __init__(self, body: dispatch.Body) -> None:
        self._body = body

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        async for chunk in self._body.chunks():
            yield chunk
