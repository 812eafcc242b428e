"""``Peers`` over websockets."""

import random

import anyio
import anyio.abc

from pomeloward import model
from pomeloward.peer import acceptor
from pomeloward.peer import dialer
from pomeloward.peer import directory
from pomeloward.peer import dispatcher
from pomeloward.peer import identity
from pomeloward.peer import link
from pomeloward.peer import message
from pomeloward.peer import node
from pomeloward.peer import peers
from pomeloward.peer import pending
from pomeloward.peer import traffic
from pomeloward.peer import wireformat


class WebsocketPeers:
    """Connections to the other hosts, made when first needed.

    ``traffic`` has the counters by message type. Messages to the own host
    go to its handlers without a connection.

    Example::

        peers = WebsocketPeers(identity, secret, directory)
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(peers.run, "127.0.0.1", 0)
            answer = await peers.request(host, question, timeout_ms=500.0)
    """

    def __init__(
        self,
        own: identity.Identity,
        secret: bytes,
        hosts: directory.Directory,
        injected_link: link.Link | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.traffic = traffic.Traffic()
        self._own = own
        self._pending = pending.Pending()
        self._dispatcher = dispatcher.Dispatcher(self._pending, self.traffic)
        self._node = node.Node(
            own=own,
            secret=secret,
            directory=hosts,
            link=injected_link or link.OpenLink(),
            traffic=self.traffic,
            pending=self._pending,
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
        """Listen and connect until cancelled; reports the port."""
        listening = acceptor.Acceptor(self._node).listen(ip_address, port)
        async with listening as bound_port, anyio.create_task_group() as tasks:
            self._tasks = tasks
            for started in self._dialers.values():
                tasks.start_soon(started.run)
            task_status.started(bound_port)
            await anyio.sleep_forever()

    async def request(
        self, host: model.HostId, question: message.Message, timeout_ms: float
    ) -> message.Message:
        """Send a question and return its answer.

        Raises ``PeerUnavailable`` when no answer came in ``timeout_ms``, the
        connection ended, or the queue to the host is full.
        """
        if host == self._own.host:
            answer = self._dispatcher.call(host, question)
            if answer is None:
                raise model.PeerUnavailable("the own host has no answer")
            return answer
        ask_id = self._pending.open(host)
        queue = self._dialer(host).queue
        accepted = self._node.enqueue(
            queue,
            host,
            wireformat.EnvelopeKind.REQUEST,
            ask_id,
            question,
            timeout_ms,
        )
        if not accepted:
            self._pending.resolve(host, ask_id, None)
            raise model.PeerUnavailable(f"the queue to {host} is full")
        return await self._pending.wait(ask_id, timeout_ms)

    def notify(self, host: model.HostId, notice: message.Message) -> None:
        """Send a notice that needs no answer and may be lost."""
        if host == self._own.host:
            self._dispatcher.call(host, notice)
            return
        queue = self._dialer(host).queue
        self._node.enqueue(
            queue, host, wireformat.EnvelopeKind.NOTIFICATION, 0, notice
        )

    def reconnect(self, host: model.HostId) -> None:
        """Give up the connection to a host that has fallen silent."""
        known = self._dialers.get(host)
        if known is not None:
            known.reconnect()

    def register_handler(
        self,
        message_type: type[message.Message],
        handler: peers.MessageHandler,
    ) -> None:
        """Register the handler of a message type."""
        self._dispatcher.handle(message_type, handler)

    def _dialer(self, host: model.HostId) -> dialer.Dialer:
        known = self._dialers.get(host)
        if known is None:
            known = dialer.Dialer(self._node, host, self._rng)
            self._dialers[host] = known
            if self._tasks is not None:
                self._tasks.start_soon(known.run)
        return known
