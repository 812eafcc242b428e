"""Keeps the connection from this host to one peer."""

import random

import anyio
import eliot
import websockets
from websockets.asyncio import client

from pomeloward import model
from pomeloward.peer import backoff
from pomeloward.peer import connection
from pomeloward.peer import handshake
from pomeloward.peer import node
from pomeloward.peer import outbox
from pomeloward.peer import wireformat

CONNECT_TIMEOUT_S = 2.0
# A silent connection is found dead after the sum of both; frequent pings
# would cost as much as the heartbeats.
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 5.0
_FIRST_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 2_000.0


class Dialer:
    """Connects when there is something to send, and reconnects.

    Between two failed attempts it waits with backoff and jitter. When an
    attempt fails or a connection ends, the questions that wait for it fail
    at once, so that their askers can turn to another host.
    """

    def __init__(
        self, owner: node.Node, host: model.HostId, rng: random.Random
    ) -> None:
        self.queue = outbox.Outbox()
        self._node = owner
        self._host = host
        self._backoff = backoff.Backoff(
            _FIRST_BACKOFF_MS, _MAX_BACKOFF_MS, rng
        )
        self._scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self.queue.wait()
            reason = "silent"
            with anyio.CancelScope() as self._scope:
                reason = await self._connect_once()
            self._fail_waiting()
            eliot.log_message(
                message_type="peer:disconnected",
                peer=self._host,
                reason=reason,
            )
            await anyio.sleep(self._backoff.next_ms() / 1000)

    def reconnect(self) -> None:
        """End the connection, so that the next message opens a new one."""
        if self._scope is not None:
            self._scope.cancel()

    async def _connect_once(self) -> str:
        address = self._node.directory.peer_address(self._host)
        if address is None:
            return "the configuration has no address of the host"
        if self._node.link.delay_ms(self._node.own.host, self._host) is None:
            return "the link is cut"
        try:
            return await self._run_connection(*address)
        except (
            OSError,
            TimeoutError,
            websockets.WebSocketException,
            model.PeerProtocolError,
        ) as error:
            return f"{type(error).__name__}: {error}"

    async def _run_connection(self, ip_address: str, port: int) -> str:
        async with client.connect(
            _uri(ip_address, port),
            compression=None,
            proxy=None,
            user_agent_header=None,
            max_size=wireformat.MAX_FRAME_BYTES,
            max_queue=4,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CONNECT_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
        ) as socket:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await handshake.connect(
                    socket.send,
                    socket.recv,
                    self._node.secret,
                    self._node.own,
                    self._host,
                )
            self._backoff.reset()
            return await connection.Connection(
                self._node, socket, self._host, self.queue
            ).run()

    def _fail_waiting(self) -> None:
        for item in self.queue.clear():
            self._node.traffic.dropped(item.tag)
        self._node.pending.fail_host(self._host)


def _uri(ip_address: str, port: int) -> str:
    if ":" in ip_address:
        ip_address = f"[{ip_address}]"
    return f"ws://{ip_address}:{port}/"
