"""``Peers`` over websockets."""

import random

import anyio
import anyio.abc

from pomeloward import model
from pomeloward.peer import acceptor
from pomeloward.peer import addressresolver
from pomeloward.peer import connectioncontext
from pomeloward.peer import dialer
from pomeloward.peer import faultinjection
from pomeloward.peer import identity
from pomeloward.peer import message
from pomeloward.peer import messagedispatcher
from pomeloward.peer import peers
from pomeloward.peer import pendingrequests
from pomeloward.peer import trafficcounters
from pomeloward.peer import wireformat


class WebsocketPeers:
    """Exchanges messages with peers over websockets opened on demand.

    ``traffic_counters`` counts messages by type. Messages to the own host
    are passed to its handlers without a connection and are not counted.

    Example::

        peers = WebsocketPeers(identity, fleet_secret, address_resolver)
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(peers.run, "127.0.0.1", 0)
            response = await peers.request(host, message, timeout_ms=500.0)
    """

    def __init__(
        self,
        own_identity: identity.Identity,
        fleet_secret: bytes,
        address_resolver: addressresolver.AddressResolver,
        fault_injector: faultinjection.FaultInjector | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.traffic_counters = trafficcounters.TrafficCounters()
        self._own_identity = own_identity
        self._pending_requests = pendingrequests.PendingRequests()
        self._dispatcher = messagedispatcher.MessageDispatcher(
            self._pending_requests, self.traffic_counters
        )
        self._context = connectioncontext.ConnectionContext(
            own_identity=own_identity,
            fleet_secret=fleet_secret,
            address_resolver=address_resolver,
            fault_injector=fault_injector or faultinjection.NoFaults(),
            traffic_counters=self.traffic_counters,
            pending_requests=self._pending_requests,
            dispatcher=self._dispatcher,
        )
        self._rng = rng or random.Random()
        self._dialers: dict[model.HostId, dialer.Dialer] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(
        self,
        ip_address: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and connect until cancelled.

        Reports the port in use through ``task_status``.
        """
        listening = acceptor.Acceptor(self._context).listen(ip_address, port)
        async with listening as bound_port, anyio.create_task_group() as tasks:
            self._tasks = tasks
            for peer_dialer in self._dialers.values():
                tasks.start_soon(peer_dialer.run)
            task_status.started(bound_port)
            await anyio.sleep_forever()

    async def request(
        self,
        host: model.HostId,
        request_message: message.Message,
        timeout_ms: float,
    ) -> message.Message:
        """Send a request and return its response.

        Raises ``PeerUnavailable`` if the peer or the own handler gives no
        response, none arrives within ``timeout_ms``, the connection ends,
        the message is too large, or the send queue to the host is full.
        """
        if host == self._own_identity.host:
            response = self._dispatcher.run_handler(host, request_message)
            if response is None:
                raise model.PeerUnavailable("the own host gave no response")
            return response
        correlation_id = self._pending_requests.add(host)
        send_queue = self._dialer_for(host).send_queue
        is_accepted = self._context.try_enqueue(
            send_queue,
            host,
            wireformat.EnvelopeKind.REQUEST,
            correlation_id,
            request_message,
            timeout_ms,
        )
        if not is_accepted:
            self._pending_requests.try_complete(host, correlation_id, None)
            raise model.PeerUnavailable(
                f"the send queue to {host} is full or the message too large"
            )
        return await self._pending_requests.wait_for_response(
            correlation_id, timeout_ms
        )

    def notify(
        self, host: model.HostId, notification: message.Message
    ) -> None:
        """Send a message that has no response and may be lost."""
        if host == self._own_identity.host:
            self._dispatcher.run_handler(host, notification)
            return
        send_queue = self._dialer_for(host).send_queue
        self._context.try_enqueue(
            send_queue,
            host,
            wireformat.EnvelopeKind.NOTIFICATION,
            0,
            notification,
        )

    def reconnect(self, host: model.HostId) -> None:
        """End the connection to a host that stopped answering.

        The next message to the host opens a new connection.
        """
        existing_dialer = self._dialers.get(host)
        if existing_dialer is not None:
            existing_dialer.reconnect()

    def announce_stop(self) -> None:
        """Tell peers of a planned stop when ``run`` is cancelled.

        Without it, the connections end as after an error.
        """
        self._context.is_stopping = True

    def register_handler(
        self,
        message_type: type[message.Message],
        handler: peers.MessageHandler,
    ) -> None:
        """Register the handler of a message type."""
        self._dispatcher.register_handler(message_type, handler)

    def _dialer_for(self, host: model.HostId) -> dialer.Dialer:
        peer_dialer = self._dialers.get(host)
        if peer_dialer is None:
            peer_dialer = dialer.Dialer(self._context, host, self._rng)
            self._dialers[host] = peer_dialer
            if self._tasks is not None:
                self._tasks.start_soon(peer_dialer.run)
        return peer_dialer
