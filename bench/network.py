"""A network between hosts without sockets, for tests and the matrix."""

import collections
import collections.abc
import contextlib
import random

import anyio
import anyio.abc

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import wireformat

Watch = collections.abc.Callable[
    [model.HostId, model.HostId, peer.Message, bytes], None
]
Arrival = collections.abc.Callable[
    [model.HostId], collections.abc.Awaitable[None]
]

Context = collections.abc.Callable[
    [model.HostId], contextlib.AbstractContextManager[None]
]


def _no_context(
    host: model.HostId,
) -> contextlib.AbstractContextManager[None]:
    return contextlib.nullcontext()


class FakeNetwork:
    """Delays, loses, reorders and cuts messages on the runtime's clock.

    Messages pass through the real encoding, so a message that could not
    travel between processes fails here too. A delay drawn from a range
    reorders messages. ``cut(a, b)`` loses what ``a`` sends to ``b`` only.

    Example::

        async with anyio.create_task_group() as tasks:
            network = FakeNetwork(tasks, random.Random(1), (0.5, 3.0))
            peers = network.peers(model.HostId("a"))
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        rng: random.Random,
        delay_ms: tuple[float, float] = (0.5, 0.5),
        loss_ratio: float = 0.0,
    ) -> None:
        self.delay_ms = delay_ms
        self.loss_ratio = loss_ratio
        # Sees each message before it travels.
        self.watch: Watch | None = None
        # Waits while the receiver cannot take what has arrived.
        self.arrival: Arrival | None = None
        # The context in which a host handles what has arrived.
        self.context: Context = _no_context
        self.sent: collections.Counter[str] = collections.Counter()
        self._tasks = tasks
        self._rng = rng
        self._cuts: set[tuple[model.HostId, model.HostId]] = set()
        self._hosts: dict[model.HostId, FakePeers] = {}

    def peers(self, host: model.HostId) -> "FakePeers":
        """Return the peers of a host; again after a restart of the host."""
        self._hosts[host] = FakePeers(self, host)
        return self._hosts[host]

    def stop(self, host: model.HostId) -> None:
        """Lose a host; messages to it are lost until ``peers`` again."""
        self._hosts.pop(host, None)

    def cut(self, source: model.HostId, destination: model.HostId) -> None:
        """Lose every message in one direction."""
        self._cuts.add((source, destination))

    def is_cut(self, source: model.HostId, destination: model.HostId) -> bool:
        """Tell whether messages in one direction are lost."""
        return (source, destination) in self._cuts

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    async def travel(
        self,
        source: model.HostId,
        destination: model.HostId,
        content: peer.Message,
    ) -> peer.Message | None:
        """Wait for the arrival of a message; None when it is lost."""
        self.sent[peer.wire_tag(type(content))] += 1
        frame = wireformat.encode_frame(
            [
                wireformat.encode_envelope(
                    wireformat.EnvelopeKind.NOTIFICATION, 0, content
                )
            ]
        )
        if self.watch is not None:
            self.watch(source, destination, content, frame)
        await anyio.sleep(self._rng.uniform(*self.delay_ms) / 1000)
        is_cut = (source, destination) in self._cuts
        if is_cut or self._rng.random() < self.loss_ratio:
            return None
        return wireformat.decode_frame(frame)[0].message

    async def deliver(
        self,
        source: model.HostId,
        destination: model.HostId,
        content: peer.Message,
    ) -> peer.Message | None:
        """Carry a message to its handler and return the answer."""
        arrived = await self.travel(source, destination, content)
        if self.arrival is not None:
            await self.arrival(destination)
        receiver = self._hosts.get(destination)
        if arrived is None or receiver is None:
            return None
        with self.context(destination):
            return receiver.receive(source, arrived)

    def spawn(
        self,
        source: model.HostId,
        destination: model.HostId,
        content: peer.Message,
    ) -> None:
        """Carry a notice in the background."""
        self._tasks.start_soon(self.deliver, source, destination, content)


class FakePeers:
    """``peer.Peers`` of one host on a ``FakeNetwork``."""

    def __init__(self, network: FakeNetwork, host: model.HostId) -> None:
        self._network = network
        self._host = host
        self._handlers: dict[type[peer.Message], peer.MessageHandler] = {}

    async def request(
        self, host: model.HostId, question: peer.Message, timeout_ms: float
    ) -> peer.Message:
        """Send a question and return its answer."""
        with anyio.move_on_after(timeout_ms / 1000):
            answer = await self._exchange(host, question)
            if answer is not None:
                return answer
            await anyio.sleep_forever()
        raise model.PeerUnavailable(f"no answer from {host}")

    async def _exchange(
        self, host: model.HostId, question: peer.Message
    ) -> peer.Message | None:
        if host == self._host:
            return self.receive(host, question)
        answer = await self._network.deliver(self._host, host, question)
        if answer is None:
            return None
        return await self._network.travel(host, self._host, answer)

    def notify(self, host: model.HostId, notice: peer.Message) -> None:
        """Send a notice that may be lost."""
        self._network.spawn(self._host, host, notice)

    def register_handler(
        self, message_type: type[peer.Message], handler: peer.MessageHandler
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def receive(
        self, source: model.HostId, content: peer.Message
    ) -> peer.Message | None:
        """Handle an arrived message."""
        handler = self._handlers.get(type(content))
        if handler is None:
            return None
        return handler(source, content, anyio.current_time() * 1000)
