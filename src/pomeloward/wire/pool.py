"""A pool of connections to one target or host."""

import httpcore

from pomeloward.wire import connection


class Pool(httpcore.AsyncConnectionPool):
    """Makes connections of this package."""

    def __init__(
        self,
        max_connections: int,
        connection_settings: connection.ConnectionSettings,
    ) -> None:
        super().__init__(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
        )
        self._connection_settings = connection_settings

    def create_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncConnectionInterface:
        """Return a connection that opens with its first request."""
        return connection.Connection(origin, self._connection_settings)
