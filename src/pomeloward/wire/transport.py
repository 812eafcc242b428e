"""The transport of httpx over the connections of this package."""

import collections.abc

import httpcore
import httpx

from pomeloward.wire import connection
from pomeloward.wire import pool


class Transport(httpx.AsyncBaseTransport):
    """Sends requests over a pool of connections."""

    def __init__(
        self,
        max_connections: int,
        connection_settings: connection.ConnectionSettings,
    ) -> None:
        self._pool = pool.Pool(max_connections, connection_settings)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Return an answer whose body is still to be read.

        Raises the errors of httpx.
        """
        assert isinstance(request.stream, httpx.AsyncByteStream)
        outgoing = httpcore.Request(
            method=request.method,
            url=httpcore.URL(
                scheme=request.url.raw_scheme,
                host=request.url.raw_host,
                port=request.url.port,
                target=request.url.raw_path,
            ),
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        try:
            response = await self._pool.handle_async_request(outgoing)
        except httpcore.PoolTimeout as error:
            raise httpx.PoolTimeout("no connection is free") from error
        except httpcore.UnsupportedProtocol as error:
            raise httpx.UnsupportedProtocol(str(error)) from error
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=_ResponseStream(response),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class _ResponseStream(httpx.AsyncByteStream):
    def __init__(self, response: httpcore.Response) -> None:
        self._response = response

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        assert isinstance(self._response.stream, collections.abc.AsyncIterable)
        async for chunk in self._response.stream:
            yield chunk

    async def aclose(self) -> None:
        await self._response.aclose()
