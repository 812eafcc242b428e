"""The transport of httpx over the connections of this package."""

import collections.abc

import anyio
import httpx

from pomeloward.wire import connection as connections
from pomeloward.wire import pool as pools
from pomeloward.wire import requestidentity

# Extension of a request that is sent on a connection of its own.
NEW_CONNECTION_EXTENSION = "new_connection"


class Transport(httpx.AsyncBaseTransport):
    """Sends requests to one target or host over a pool of connections."""

    def __init__(
        self,
        max_connections: int,
        connection_settings: connections.ConnectionSettings,
    ) -> None:
        self._pool = pools.Pool(max_connections, connection_settings)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Return an answer whose body is still to be read.

        Raises the errors of httpx.
        """
        identity = requestidentity.find_identity(request)
        timeouts_s = request.extensions.get("timeout", {})
        connection = await self._pool.acquire(
            identity,
            timeouts_s.get("pool"),
            request.extensions.get(NEW_CONNECTION_EXTENSION, False),
        )
        try:
            head = await connection.send(request, identity)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._pool.release(connection)
            raise
        return httpx.Response(
            head.status_code,
            headers=head.headers.raw_items(),
            stream=_ResponseStream(connection, self._pool),
            extensions={
                "http_version": b"HTTP/" + head.http_version,
                "reason_phrase": head.reason,
            },
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class _ResponseStream(httpx.AsyncByteStream):
    """The body of an answer, whose connection goes back after it."""

    def __init__(
        self, connection: connections.Connection, pool: pools.Pool
    ) -> None:
        self._connection = connection
        self._pool = pool
        self._is_closed = False

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        try:
            async for chunk in self._connection.receive_body():
                yield chunk
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self.aclose()
            raise

    async def aclose(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        with anyio.CancelScope(shield=True):
            try:
                await self._connection.end_exchange()
            finally:
                await self._pool.release(self._connection)
