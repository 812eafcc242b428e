"""Hosts with real membership and ownership on a network of fakes."""

import random

import anyio
import anyio.abc
import trio.testing

from pomeloward import membership
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from tests import fakes


def run_paused(scenario) -> None:
    """Run an async function on a paused clock that jumps to the next wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(scenario, backend="trio", backend_options={"clock": clock})


def now_ms() -> float:
    return anyio.current_time() * 1000


class CountingUser:
    """A partition user whose state is the number of all its tenures."""

    name = "counting"

    def __init__(self, host: model.HostId, log: list) -> None:
        self.counts: dict[model.PartitionId, int] = {}
        self._host = host
        self._log = log

    def on_acquired(self, partition, epoch, state, at_ms):
        self.counts[partition] = 1 + int(state or b"0")
        self._log.append(("acquired", partition, self._host, epoch, at_ms))

    def on_lost(self, partition, at_ms):
        self.counts.pop(partition)
        self._log.append(("lost", partition, self._host, 0, at_ms))

    def export(self, partition, at_ms):
        return str(self.counts[partition]).encode()


class Host:
    """One process of a host."""

    def __init__(self, fleet: "HostFleet", host: model.HostId) -> None:
        record = fleet.view.host(host)
        fleet.incarnations += 1
        own = peer.Identity(host, model.Incarnation(fleet.incarnations))
        rng = random.Random(fleet.incarnations)
        peers = fleet.network.peers(host)
        self.roll = membership.Roll(host, record.region, own.incarnation)
        self.roll.state = model.HostState.READY
        self.user = CountingUser(host, fleet.log)
        self.ownership = ownership.LeasedOwnership(
            own, record.region, peers, self.roll, rng, None, lambda: now_ms()
        )
        self.ownership.add_user(self.user)
        self.configure(fleet.view)
        self._beats = membership.Heartbeats(self.roll, peers, rng)
        self.scope = anyio.CancelScope()

    def configure(self, view) -> None:
        self.roll.configure(view, now_ms())
        self.ownership.configure(view, now_ms())

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._beats.run)
                tasks.start_soon(self.ownership.run)


class HostFleet:
    """All hosts of a configuration; checks for two owners as it waits."""

    def __init__(self, view, tasks, delay_ms=(0.5, 1.5), loss_ratio=0.0):
        self.view = view
        self.log: list = []
        self.incarnations = 0
        self.network = fakes.FakeNetwork(
            tasks, random.Random(1), delay_ms, loss_ratio
        )
        self.hosts: dict[model.HostId, Host] = {}
        self._tasks = tasks
        region = next(iter(view.regions()))
        self.partitions = [
            ownership.make_partition(region.id, number)
            for number in range(region.partitions)
        ]
        for host in view.hosts():
            self.start(host.id)

    def start(self, host) -> None:
        self.hosts[host] = Host(self, host)
        self._tasks.start_soon(self.hosts[host].run)

    def stop(self, host) -> None:
        self.hosts.pop(host).scope.cancel()
        self.network.stop(host)

    def owners(self, partition) -> list[model.HostId]:
        at_ms = now_ms()
        return [
            host
            for host, each in self.hosts.items()
            if each.ownership.holds(partition, at_ms) is not None
        ]

    def owner(self, partition) -> model.HostId | None:
        owners = self.owners(partition)
        assert len(owners) <= 1, f"two owners of {partition}: {owners}"
        return owners[0] if owners else None

    async def wait(self, duration_ms: float, step_ms: float = 50.0) -> None:
        """Wait, and look for two owners at each step."""
        end_ms = now_ms() + duration_ms
        while now_ms() < end_ms:
            await anyio.sleep(step_ms / 1000)
            for partition in self.partitions:
                self.owner(partition)

    def epochs_grow(self) -> bool:
        """Tell whether the acquisitions of each partition had new epochs."""
        last: dict[str, int] = {}
        for kind, partition, _, epoch, _ in self.log:
            if kind == "acquired":
                if epoch <= last.get(partition, 0):
                    return False
                last[partition] = epoch
        return True
