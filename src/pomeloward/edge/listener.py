"""Accepts HTTP connections in the host's loop."""

import asyncio
import collections.abc
import typing

from hypercorn import utils
from hypercorn.asyncio import worker_context
import hypercorn.config

from pomeloward import entry
from pomeloward import settings

_BACKLOG = 1_024
# More requests per connection than any caller sends.
_REQUESTS_PER_CONNECTION = 2**62
_NO_TIMES = entry.CallerTimes()


class Listener:
    """Serves an ASGI application at one address."""

    def __init__(
        self,
        app: typing.Any,
        endpoint: settings.Endpoint,
        max_connections: int,
        header_bytes: int,
        times: collections.abc.Callable[[], entry.CallerTimes] = lambda: (
            _NO_TIMES
        ),
    ) -> None:
        self._times = times
        self._endpoint = endpoint
        self._max_connections = max_connections
        self._config = _config(header_bytes)
        self._app = utils.wrap_app(app, 0, "asgi")
        self._context = worker_context.WorkerContext(None)
        self._open: set[entry.Connection] = set()
        self._server: asyncio.Server | None = None

    def __len__(self) -> int:
        return len(self._open)

    async def start(self) -> None:
        """Listen; raises ``OSError`` when the address cannot be used."""
        self._server = await asyncio.start_server(
            self._connected,
            self._endpoint.ip_address,
            self._endpoint.port,
            backlog=_BACKLOG,
        )

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Close idle connections, then what is left."""
        self.stop_accepting()
        await self._context.terminated.set()
        for connection in list(self._open):
            connection.close_if_idle()
        await asyncio.sleep(0)
        for connection in list(self._open):
            connection.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._open) >= self._max_connections:
            writer.transport.abort()
            return
        connection = entry.Connection(
            self._app,
            self._config,
            self._context,
            reader,
            writer,
            self._times,
        )
        self._open.add(connection)
        try:
            await connection.run()
        finally:
            self._open.discard(connection)


def _config(header_bytes: int) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.h11_max_incomplete_size = header_bytes
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    return config
