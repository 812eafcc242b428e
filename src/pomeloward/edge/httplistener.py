"""Serves ASGI applications over HTTP in the host's event loop."""

import asyncio
import collections.abc
import socket
import typing

from hypercorn import utils
from hypercorn.asyncio import worker_context
import hypercorn.config

from pomeloward import entry
from pomeloward import settings

_BACKLOG = 1_024
# hypercorn closes a connection after this many requests; no caller sends as
# many.
_MAX_REQUESTS_PER_CONNECTION = 2**62
# Requests of one connection that are served side by side. Each may hold a
# response of up to 256 kB until the earlier ones are answered.
_MAX_PIPELINED_REQUESTS = 8
# A response with more unsent bytes waits for its caller, in this process and
# in the system. The system would take megabytes for a caller who doesn't read.
_MAX_UNSENT_BYTES = 8 * 1024
_DEFAULT_TIMEOUTS = entry.CallerTimes()


class HttpListener:
    """Serves an ASGI application at one address.

    Its length is the number of open connections.
    """

    def __init__(
        self,
        app: typing.Any,
        endpoint: settings.Endpoint,
        max_connections: int,
        max_header_bytes: int,
        caller_timeouts: collections.abc.Callable[
            [], entry.CallerTimes
        ] = lambda: _DEFAULT_TIMEOUTS,
    ) -> None:
        """Create a listener for ``endpoint`` that doesn't listen yet.

        ``caller_timeouts`` returns the timeouts that apply at that time.
        """
        self._caller_timeouts = caller_timeouts
        self._endpoint = endpoint
        self._max_connections = max_connections
        self._config = _make_config(max_header_bytes)
        self._app = utils.wrap_app(app, 0, "asgi")
        self._context = worker_context.WorkerContext(None)
        self._open_connections: set[entry.Connection] = set()
        self._server: asyncio.Server | None = None
        self._last_closed = asyncio.Event()

    def __len__(self) -> int:
        return len(self._open_connections)

    async def start(self) -> None:
        """Start to listen; raise ``OSError`` if the address can't be used."""
        self._server = await asyncio.start_server(
            self._serve_connection,
            self._endpoint.ip_address,
            self._endpoint.port,
            backlog=_BACKLOG,
        )

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in list(self._open_connections):
            connection.close_if_idle()

    async def wait_until_unused(self) -> None:
        """Wait until no connection is open."""
        while self._open_connections:
            self._last_closed.clear()
            await self._last_closed.wait()

    async def close(self) -> None:
        """Refuse new connections, close idle ones and abort the others."""
        self.stop_accepting()
        await self._context.terminated.set()
        self.close_idle()
        await asyncio.sleep(0)
        for connection in list(self._open_connections):
            connection.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection; abort it if too many others are open."""
        if len(self._open_connections) >= self._max_connections:
            writer.transport.abort()
            return
        writer.transport.set_write_buffer_limits(_MAX_UNSENT_BYTES)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _MAX_UNSENT_BYTES
        )
        connection = entry.Connection(
            self._app,
            self._config,
            self._context,
            reader,
            writer,
            self._caller_timeouts,
            _MAX_PIPELINED_REQUESTS,
        )
        self._open_connections.add(connection)
        try:
            await connection.run()
        finally:
            self._open_connections.discard(connection)
            if not self._open_connections:
                self._last_closed.set()


def _make_config(max_header_bytes: int) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.h11_max_incomplete_size = max_header_bytes
    config.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION
    return config
