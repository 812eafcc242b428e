"""Serves the application with hypercorn's protocols in the host's loop."""

import asyncio
import collections.abc

import anyio
from hypercorn import utils
from hypercorn.asyncio import worker_context
import hypercorn.config

from pomeloward import model
from pomeloward import settings
from pomeloward.entry import application
from pomeloward.entry import callertimes
from pomeloward.entry import connection as connections
from pomeloward.entry import exchange as exchanges

# More requests per connection than any caller sends; a bound would only
# make callers connect again.
_REQUESTS_PER_CONNECTION = 2**62
_BACKLOG = 1_024
# Open work has ended before; this is for idle connections to close.
_CLOSE_S = 2.0


class Server:
    """Accepts callers' connections, up to a limit.

    hypercorn's own loop has no bound on connections and keeps the sockets
    of callers that have left; its protocols are used as they are.
    """

    def __init__(
        self, app: application.Application, host_settings: settings.Settings
    ) -> None:
        self._settings = host_settings
        self._config = _config(host_settings)
        idle_s = self._config.keep_alive_timeout
        self._times = callertimes.CallerTimes(idle_s, idle_s)
        self._app = utils.wrap_app(app, 0, "asgi")
        self._context = worker_context.WorkerContext(None)
        self._open: dict[connections.Connection, None] = {}
        self._all_closed = anyio.Event()

    def __len__(self) -> int:
        return len(self._open)

    async def serve(
        self,
        stop: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Accept callers until ``stop`` returns, then close connections."""
        listening = await asyncio.start_server(
            self._connected,
            self._settings.address,
            self._settings.caller_port,
            backlog=_BACKLOG,
        )
        try:
            await stop()
        finally:
            listening.close()
            await self._context.terminated.set()
            for connection in list(self._open):
                connection.close_if_idle()
            with anyio.move_on_after(_CLOSE_S):
                await self._wait_closed()
            for connection in list(self._open):
                connection.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._open) >= self._settings.limits.connections:
            await _refuse(writer)
            return
        connection = connections.Connection(
            self._app,
            self._config,
            self._context,
            reader,
            writer,
            lambda: self._times,
        )
        self._open[connection] = None
        try:
            await connection.run()
        finally:
            del self._open[connection]
            if not self._open:
                self._all_closed.set()

    async def _wait_closed(self) -> None:
        if self._open:
            self._all_closed = anyio.Event()
            await self._all_closed.wait()


async def _refuse(writer: asyncio.StreamWriter) -> None:
    refusal = model.Refusal(
        model.ErrorKind.CONNECTION_LIMIT, "too many connections"
    )
    body = exchanges.refusal_body(
        refusal, model.RequestId(""), refusal.run_state
    )
    lines = [
        b"HTTP/1.1 503 ",
        b"content-type: application/json",
        b"content-length: %d" % len(body),
        b"connection: close",
    ]
    lines += [
        name + b": " + value
        for name, value in exchanges.refusal_headers(
            refusal, refusal.run_state
        )
    ]
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    try:
        await writer.drain()
        writer.close()
        await writer.wait_closed()
    except OSError:
        # The caller has left; there is nobody to refuse.
        pass


def _config(host_settings: settings.Settings) -> hypercorn.config.Config:
    limits = host_settings.limits
    config = hypercorn.config.Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    # A target's own date is passed on.
    config.include_date_header = False
    # Larger than the limit that refuses with an explanation, so that only
    # far larger heads meet the parser's refusal.
    config.h11_max_incomplete_size = limits.header_bytes * 2
    config.h2_max_header_list_size = limits.header_bytes * 2
    config.keep_alive_timeout = limits.keep_alive_ms / 1_000
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    config.websocket_max_message_size = limits.websocket_message_bytes
    return config
