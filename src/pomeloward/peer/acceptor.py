"""Accepts connections from peers."""

import collections.abc
import contextlib

import anyio
import eliot
import websockets
from websockets.asyncio import server

from pomeloward import model
from pomeloward.peer import connection
from pomeloward.peer import dialer
from pomeloward.peer import handshake
from pomeloward.peer import identity
from pomeloward.peer import node
from pomeloward.peer import outbox
from pomeloward.peer import wireformat


class Acceptor:
    """The listening side of a host."""

    def __init__(self, owner: node.Node) -> None:
        self._node = owner

    @contextlib.asynccontextmanager
    async def listen(
        self, ip_address: str, port: int
    ) -> collections.abc.AsyncIterator[int]:
        """Listen; yields the port, which the system chooses for 0."""
        async with server.serve(
            self._accept,
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
            yield next(iter(listener.sockets)).getsockname()[1]

    async def _accept(self, socket: server.ServerConnection) -> None:
        remote = str(socket.remote_address)
        try:
            peer = await self._authenticate(socket)
        except (
            TimeoutError,
            websockets.WebSocketException,
            model.PeerProtocolError,
        ) as error:
            eliot.log_message(
                message_type="peer:rejected", remote=remote, reason=str(error)
            )
            return
        reason = await connection.Connection(
            self._node, socket, peer.host, outbox.Outbox()
        ).run()
        eliot.log_message(
            message_type="peer:closed", peer=peer.host, reason=reason
        )

    async def _authenticate(
        self, socket: server.ServerConnection
    ) -> identity.Identity:
        with anyio.fail_after(dialer.CONNECT_TIMEOUT_S):
            peer = await handshake.accept(
                socket.send, socket.recv, self._node.secret, self._node.own
            )
        if self._node.link.delay_ms(self._node.own.host, peer.host) is None:
            raise model.PeerProtocolError("the link is cut")
        return peer
