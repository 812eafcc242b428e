"""One connection of a caller."""

import asyncio
import contextlib
import typing

from hypercorn import config as configs
from hypercorn import events
from hypercorn import protocol
from hypercorn import typing as hypercorn_typing
from hypercorn import utils
from hypercorn.asyncio import task_group
from hypercorn.asyncio import tcp_server
from hypercorn.asyncio import worker_context

from pomeloward.entry import idletimer
from pomeloward.entry import pipeliningprotocol

# hypercorn's own size of a read.
_READ_BYTES = 65_536
# How long a connection that ends is still read. A close with unread bytes
# resets it, and a caller that still sends might lose the last response.
_LINGER_S = 1.0


class Connection(tcp_server.TCPServer):  # type: ignore[misc]
    """hypercorn's connection with bounds on waits for a request."""

    def __init__(
        self,
        app: typing.Any,
        config: configs.Config,
        context: worker_context.WorkerContext,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        times: idletimer.Times,
        max_open_requests: int = 1,
    ) -> None:
        """Serve up to ``max_open_requests`` of the caller at a time."""
        loop = asyncio.get_running_loop()
        super().__init__(app, loop, config, context, {}, reader, writer)
        self.idle_task = idletimer.IdleTimer(times)
        self._max_open_requests = max_open_requests
        self._is_lingering = False
        self._reads_ended = asyncio.Event()

    async def run(self) -> None:
        """Serve until the connection ends."""
        socket = self.writer.get_extra_info("socket")
        try:
            client = utils.parse_socket_addr(
                socket.family, socket.getpeername()
            )
            server = utils.parse_socket_addr(
                socket.family, socket.getsockname()
            )
            async with task_group.TaskGroup(self.loop) as tasks:
                self._task_group = tasks
                arguments = (
                    self.app,
                    self.config,
                    self.context,
                    tasks,
                    hypercorn_typing.ConnectionState(self.state),
                    False,
                    client,
                    server,
                    self.protocol_send,
                )
                self.protocol = protocol.ProtocolWrapper(
                    *arguments, "http/1.1"
                )
                self.protocol.protocol = pipeliningprotocol.PipeliningProtocol(
                    arguments, self._max_open_requests
                )
                await self.protocol.initiate()
                await self.idle_task.restart(tasks, self._idle_timeout)
                await self._read_data()
        except OSError:
            # The caller's connection was reset.
            pass
        finally:
            await self._close()

    async def protocol_send(self, event: events.Event) -> None:
        """Send bytes, or end the connection once the caller has ended it."""
        if not isinstance(event, events.Closed):
            await super().protocol_send(event)
        elif not self._is_lingering:
            self._is_lingering = True
            await self.idle_task.stop()
            with contextlib.suppress(OSError, RuntimeError):
                self.writer.write_eof()
            self._task_group.spawn(self._close_after_reads)

    async def _close_after_reads(self) -> None:
        """Close when the caller has ended the connection, or soon."""
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._reads_ended.wait(), _LINGER_S)
        await self._close()

    def close_if_idle(self) -> None:
        """Close a connection that waits for a request."""
        self.idle_task.fire()

    def abort(self) -> None:
        """End the connection at once."""
        self.writer.transport.abort()

    async def _read_data(self) -> None:
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(_READ_BYTES)
            except OSError:
                # A reset ends the open request as a close does.
                break
            if self._is_lingering:
                continue
            if data:
                self.idle_task.begin_head(self._head_timeout)
            await self.protocol.handle(events.RawData(data))
        self._reads_ended.set()
        await self.protocol.handle(events.Closed())

    async def _idle_timeout(self) -> None:
        await self._initiate_server_close()

    async def _head_timeout(self) -> None:
        """Tell a caller whose head is late, and close."""
        protocol_ = self.protocol.protocol
        if isinstance(protocol_, pipeliningprotocol.PipeliningProtocol):
            await protocol_.refuse_late_head()
        await self._initiate_server_close()
