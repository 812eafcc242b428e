"""Accepts connections from peers."""

import collections.abc
import contextlib

import anyio
import eliot
import websockets
from websockets.asyncio import server

from pomeloward import model
from pomeloward.peer import connection
from pomeloward.peer import connectioncontext
from pomeloward.peer import connectionend
from pomeloward.peer import dialer
from pomeloward.peer import handshake
from pomeloward.peer import identity
from pomeloward.peer import sendqueue
from pomeloward.peer import wireformat


class Acceptor:
    """Websocket server that accepts and authenticates peers."""

    def __init__(self, context: connectioncontext.ConnectionContext) -> None:
        self._context = context

    @contextlib.asynccontextmanager
    async def listen(
        self, ip_address: str, port: int
    ) -> collections.abc.AsyncIterator[int]:
        """Listen on an address and yield the port in use.

        For port 0 the operating system chooses a free port.
        """
        async with server.serve(
            self._serve_connection,
            ip_address,
            port,
            compression=None,
            server_header=None,
            max_size=wireformat.MAX_FRAME_BYTES,
            max_queue=4,
            open_timeout=dialer.CONNECT_TIMEOUT_S,
            close_timeout=dialer.CONNECT_TIMEOUT_S,
            ping_interval=None,
        ) as listener:
            try:
                yield next(iter(listener.sockets)).getsockname()[1]
            finally:
                if self._context.is_stopping:
                    listener.close(
                        code=connectionend.STOP_CODE,
                        reason=connectionend.STOP_REASON,
                    )

    async def _serve_connection(
        self, websocket: server.ServerConnection
    ) -> None:
        remote_address = str(websocket.remote_address)
        try:
            peer_identity = await self._authenticate(websocket)
        except (
            TimeoutError,
            websockets.WebSocketException,
            model.PeerProtocolError,
        ) as error:
            eliot.log_message(
                message_type="peer:rejected",
                remote=remote_address,
                reason=str(error),
            )
            return
        end = await connection.Connection(
            self._context,
            websocket,
            peer_identity.host,
            sendqueue.SendQueue(),
        ).run()
        eliot.log_message(
            message_type="peer:closed",
            peer=peer_identity.host,
            reason=end.reason,
            is_stop=end.is_stop,
        )

    async def _authenticate(
        self, websocket: server.ServerConnection
    ) -> identity.Identity:
        with anyio.fail_after(dialer.CONNECT_TIMEOUT_S):
            peer_identity = await handshake.authenticate_as_server(
                websocket.send,
                websocket.recv,
                self._context.fleet_secret,
                self._context.own_identity,
            )
        if (
            self._context.fault_injector.message_delay_ms(
                self._context.own_identity.host, peer_identity.host
            )
            is None
        ):
            raise model.PeerProtocolError(
                "fault injection drops messages to the host"
            )
        return peer_identity
