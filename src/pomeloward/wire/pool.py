"""A pool of connections to one target or host."""

import anyio
import httpx

from pomeloward.wire import connection as connections
from pomeloward.wire import requestidentity


class Pool:
    """Gives each request a connection of its own, and takes it back.

    A request that finds all connections in use waits. Each connection that
    ``acquire`` returns has to be released, also when it has ended.
    """

    def __init__(
        self,
        max_connections: int,
        connection_settings: connections.ConnectionSettings,
    ) -> None:
        self._connection_settings = connection_settings
        self._places = anyio.Semaphore(max_connections, fast_acquire=True)
        # The one that was used last is last.
        self._idle: list[connections.Connection] = []
        self._in_use: set[connections.Connection] = set()
        self._is_closed = False

    async def acquire(
        self,
        identity: requestidentity.RequestIdentity | None,
        timeout_s: float | None,
        needs_new_connection: bool,
    ) -> connections.Connection:
        """Return an idle connection, or one that opens with its request.

        Raises ``httpx.PoolTimeout``.
        """
        try:
            with anyio.fail_after(timeout_s):
                await self._places.acquire()
        except TimeoutError as error:
            raise httpx.PoolTimeout("no connection is free") from error
        try:
            connection = await self._take_idle(identity, needs_new_connection)
        except BaseException:
            self._places.release()
            raise
        if connection is None:
            connection = connections.Connection(self._connection_settings)
        self._in_use.add(connection)
        return connection

    async def release(self, connection: connections.Connection) -> None:
        """Take a connection back, and close it unless it is idle."""
        self._in_use.discard(connection)
        self._places.release()
        if connection.is_idle and not self._is_closed:
            self._idle.append(connection)
        else:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all connections, also those in use."""
        self._is_closed = True
        closing = [*self._idle, *self._in_use]
        self._idle.clear()
        for connection in closing:
            await connection.aclose()

    async def _take_idle(
        self,
        identity: requestidentity.RequestIdentity | None,
        needs_new_connection: bool,
    ) -> connections.Connection | None:
        """Return the idle connection that was used last, None without one.

        Connections that can't carry the request are closed.
        """
        while self._idle and self._idle[0].is_over_age:
            await self._idle.pop(0).aclose()
        if needs_new_connection and self._idle:
            # Its place goes to the new connection.
            await self._idle.pop(0).aclose()
            return None
        while self._idle:
            connection = self._idle.pop()
            if connection.can_carry(identity):
                return connection
            await connection.aclose()
        return None
