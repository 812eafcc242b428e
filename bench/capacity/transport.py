"""Processor time and memory of connections between hosts."""

import dataclasses
import time

import anyio
import psutil

from bench.capacity import fit
from pomeloward import model
from pomeloward import peer

_SECRET = b"secret of the measurement"
_LOCAL = "127.0.0.1"


class Echo(peer.Message, frozen=True, tag="capacity-echo"):
    """A question and its answer of any size."""

    filling: bytes


class _Ports:
    def __init__(self) -> None:
        self.ports: dict[model.HostId, int] = {}

    def peer_address(self, host: model.HostId) -> tuple[str, int] | None:
        """Return where a host listens."""
        port = self.ports.get(host)
        return None if port is None else (_LOCAL, port)


@dataclasses.dataclass(frozen=True, slots=True)
class Transport:
    """Core seconds of a message by its bytes, MB by connections.

    A message costs its sender and its receiver; a host sends as many as it
    receives, so the time of both is that of one host.
    """

    message_s: fit.Fit
    connection_mb: fit.Fit

    def core_ratio(self, messages_per_s: float, bytes_per_s: float) -> float:
        """Return the share of a core for sent and received messages."""
        if not messages_per_s:
            return 0.0
        mean_bytes = bytes_per_s / messages_per_s
        return messages_per_s * self.message_s.at(mean_bytes)


def measure(is_quick: bool) -> Transport:
    """Exchange messages over the loopback interface."""
    return anyio.run(_measure, is_quick, backend_options={"use_uvloop": True})


async def _measure(is_quick: bool) -> Transport:
    count = 300 if is_quick else 1_500
    sizes = (32, 256, 768, 1_536)
    links = (4, 8, 12, 16) if is_quick else (16, 32, 64, 96)
    ports = _Ports()
    server = _peers("server", ports)
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server.run, _LOCAL, 0)
        ports.ports[model.HostId("server")] = port
        first = _peers("first", ports)
        await tasks.start(first.run, _LOCAL, 0)
        points = [await _exchange(first, size, count) for size in sizes]
        memory = []
        before = psutil.Process().memory_info().rss
        opened = 0
        for wanted in links:
            while opened < wanted:
                opened += 1
                client = _peers(f"client-{opened}", ports)
                await tasks.start(client.run, _LOCAL, 0)
                await _ask(client, 32)
            rss = psutil.Process().memory_info().rss
            memory.append((float(opened), (rss - before) / 1e6))
        tasks.cancel_scope.cancel()
    return Transport(fit.fit(points), fit.fit(memory))


async def _exchange(
    client: peer.WebsocketPeers, size: int, count: int
) -> tuple[float, float]:
    await _ask(client, size)
    started = time.process_time()
    for _ in range(count):
        await _ask(client, size)
    return float(size), (time.process_time() - started) / (2 * count)


async def _ask(client: peer.WebsocketPeers, size: int) -> None:
    # 30 bytes are the headers and the tag.
    question = Echo(filling=b"x" * max(0, size - 30))
    await client.request(model.HostId("server"), question, 5_000.0)


def _peers(name: str, ports: _Ports) -> peer.WebsocketPeers:
    identity = peer.Identity(model.HostId(name), model.Incarnation(1))
    made = peer.WebsocketPeers(identity, _SECRET, ports)
    made.register_handler(Echo, lambda host, question, now_ms: question)
    return made
