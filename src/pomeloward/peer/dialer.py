"""Maintains the outgoing connection to one peer."""

import random

import anyio
import eliot
import websockets
from websockets.asyncio import client

from pomeloward import model
from pomeloward.peer import backoff
from pomeloward.peer import connection
from pomeloward.peer import connectioncontext
from pomeloward.peer import connectionend
from pomeloward.peer import handshake
from pomeloward.peer import sendqueue
from pomeloward.peer import wireformat

CONNECT_TIMEOUT_S = 2.0
# A dead connection is detected within the sum of interval and timeout. More
# frequent pings would cost as much as the heartbeats.
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 5.0
_INITIAL_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 2_000.0


class Dialer:
    """Connects when a message is queued, and reconnects after failures.

    The delay between failed attempts grows exponentially with jitter. When
    an attempt fails or a connection ends, the pending requests to the peer
    fail at once, so that their callers can turn to another host.
    """

    def __init__(
        self,
        context: connectioncontext.ConnectionContext,
        peer_host: model.HostId,
        rng: random.Random,
    ) -> None:
        self.send_queue = sendqueue.SendQueue()
        self._context = context
        self._peer_host = peer_host
        self._backoff = backoff.Backoff(
            _INITIAL_BACKOFF_MS, _MAX_BACKOFF_MS, rng
        )
        self._connection_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Connect whenever messages are queued, until cancelled."""
        while True:
            await self.send_queue.wait_until_nonempty()
            # The reason if reconnect() cancels the scope.
            end = connectionend.ConnectionEnd("silent")
            with anyio.CancelScope() as self._connection_scope:
                end = await self._connect_once()
            self._drop_queue_and_fail_requests()
            eliot.log_message(
                message_type="peer:disconnected",
                peer=self._peer_host,
                reason=end.reason,
                is_stop=end.is_stop,
            )
            await anyio.sleep(self._backoff.next_delay_ms() / 1000)

    def reconnect(self) -> None:
        """End the connection; the next message opens a new one."""
        if self._connection_scope is not None:
            self._connection_scope.cancel()

    async def _connect_once(self) -> connectionend.ConnectionEnd:
        address = self._context.address_resolver.peer_address(self._peer_host)
        if address is None:
            return connectionend.ConnectionEnd(
                "no address is known for the host"
            )
        if (
            self._context.fault_injector.message_delay_ms(
                self._context.own_identity.host, self._peer_host
            )
            is None
        ):
            return connectionend.ConnectionEnd(
                "fault injection drops messages to the host"
            )
        try:
            return await self._run_connection(*address)
        except (
            OSError,
            TimeoutError,
            websockets.WebSocketException,
            model.PeerProtocolError,
        ) as error:
            return connectionend.from_error(error)
        # An error with one peer must not end the connections to the others.
        except Exception as error:  # noqa: BLE001
            eliot.write_traceback()
            return connectionend.ConnectionEnd(
                f"internal error: {type(error).__name__}"
            )

    async def _run_connection(
        self, ip_address: str, port: int
    ) -> connectionend.ConnectionEnd:
        async with client.connect(
            _websocket_uri(ip_address, port),
            compression=None,
            proxy=None,
            user_agent_header=None,
            max_size=wireformat.MAX_FRAME_BYTES,
            max_queue=4,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CONNECT_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
        ) as websocket:
            try:
                return await self._use_connection(websocket)
            except anyio.get_cancelled_exc_class():
                # The library closes with 1011 after a cancellation.
                if self._is_stopping():
                    await websocket.close(
                        connectionend.STOP_CODE, connectionend.STOP_REASON
                    )
                raise

    async def _use_connection(
        self, websocket: client.ClientConnection
    ) -> connectionend.ConnectionEnd:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            await handshake.authenticate_as_client(
                websocket.send,
                websocket.recv,
                self._context.fleet_secret,
                self._context.own_identity,
                self._peer_host,
            )
        self._backoff.reset()
        return await connection.Connection(
            self._context, websocket, self._peer_host, self.send_queue
        ).run()

    def _is_stopping(self) -> bool:
        """Return whether a stop ends the connection, and no reconnect."""
        return self._context.is_stopping and not (
            self._connection_scope is not None
            and self._connection_scope.cancel_called
        )

    def _drop_queue_and_fail_requests(self) -> None:
        for queued in self.send_queue.pop_all():
            self._context.traffic_counters.count_dropped(queued.message_tag)
        self._context.pending_requests.fail_requests_to(self._peer_host)


def _websocket_uri(ip_address: str, port: int) -> str:
    if ":" in ip_address:
        ip_address = f"[{ip_address}]"
    return f"ws://{ip_address}:{port}/"
