"""Ownership over real websockets on the loopback interface."""

import random

import anyio

from pomeloward import membership
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from tests import views
from tests.ownership import hosts


class Ports:
    """Where the hosts listen, filled in as they start."""

    def __init__(self) -> None:
        self.by_host: dict[model.HostId, int] = {}

    def peer_address(self, host):
        port = self.by_host.get(host)
        return None if port is None else ("127.0.0.1", port)


class Host:
    """A host with its own sockets."""

    def __init__(self, view, host, ports, log) -> None:
        own = peer.Identity(host, model.Incarnation(1))
        rng = random.Random(host)
        region = view.host(host).region
        self.peers = peer.WebsocketPeers(own, b"secret", ports, None, rng)
        self.roll = membership.Roll(host, region, own.incarnation)
        self.roll.state = model.HostState.READY
        self.roll.configure(view, hosts.now_ms())
        self.beats = membership.Heartbeats(self.roll, self.peers, rng)
        self.ownership = ownership.LeasedOwnership(
            own, region, self.peers, self.roll, rng
        )
        self.ownership.add_user(hosts.CountingUser(host, log))
        self.ownership.configure(view, hosts.now_ms())

    async def run(self, ports, host) -> None:
        async with anyio.create_task_group() as tasks:
            ports.by_host[host] = await tasks.start(
                self.peers.run, "127.0.0.1", 0
            )
            tasks.start_soon(self.beats.run)
            tasks.start_soon(self.ownership.run)


async def _until(condition, timeout_s: float) -> None:
    for _ in range(int(timeout_s * 50)):
        if condition():
            return
        await anyio.sleep(0.02)
    raise AssertionError("the condition was not met in time")


def test_hosts_elect_owners_and_hand_over():
    """Guards against messages that only work on the fake network.

    An election takes the silence of 3 s and a watch of 1.5 s.
    """

    async def scenario() -> None:
        view = views.FleetView(4, 3, partitions=3)
        log: list = []
        ports = Ports()
        fleet = {h.id: Host(view, h.id, ports, log) for h in view.hosts()}
        async with anyio.create_task_group() as tasks:
            for host, each in fleet.items():
                tasks.start_soon(each.run, ports, host)
            await _until(lambda: len(log) == 3, 15.0)
            leaving = log[0][2]
            owned = [entry for entry in log if entry[2] == leaving]
            fleet[leaving].roll.state = model.HostState.DRAINING
            await fleet[leaving].ownership.drain()
            await _until(lambda: len(log) == 3 + 2 * len(owned), 2.0)
            moved = [entry for entry in log[3:] if entry[0] == "acquired"]
            assert len(moved) == len(owned)
            assert all(entry[2] != leaving for entry in moved)
            assert min(e[3] for e in moved) > min(e[3] for e in owned)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
