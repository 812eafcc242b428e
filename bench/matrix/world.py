"""The small fleet of one cell with its fakes and callers."""

import collections.abc
import contextlib
import random
import typing

import anyio
import anyio.abc

from bench import network
from bench.matrix import caller as callers
from bench.matrix import host as hosts
from bench.matrix import pauses
from bench.matrix import plan
from bench.matrix import seen
from bench.matrix import source as sources
from bench.matrix import steps
from bench.matrix import target as targets
from bench.matrix import wrappers
from pomeloward import catalog
from pomeloward import model
from pomeloward import peer
from pomeloward.catalog import messages as catalog_messages
from pomeloward.orders import messages as order_messages
from pomeloward.ownership import messages as ownership_messages

DELAY_MS = (0.3, 0.7)


class World:
    """Hosts, network, platform and targets of one cell."""

    # The world of the cell that runs now, for planted faults.
    running: typing.ClassVar["World"]

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int) -> None:
        self.rng = random.Random(seed)  # noqa: S311
        self.seen = seen.Seen()
        self.steps = steps.Steps()
        self.tasks = tasks
        self.network = network.FakeNetwork(
            tasks,
            random.Random(seed + 1),  # noqa: S311
            DELAY_MS,
        )
        self.network.watch = self._on_message
        self.network.arrival = self._wait_open
        self.network.context = self._inside
        self.source = sources.Source(self.steps)
        self.targets = {
            name: self._target(name, is_cold=name == plan.ADDED)
            for name in (*plan.TARGETS, plan.ADDED)
        }
        self.hosts: dict[model.HostId, hosts.Host] = {}
        self.caller = callers.Caller(
            self.seen,
            self.steps,
            random.Random(seed + 2),  # noqa: S311
        )
        self.secrets = tuple(key.encode() for key in plan.KEYS.values())
        self.is_withdrawn = False
        self.wave_at_s: float | None = None
        self._seed = seed
        self._incarnation = 0
        # Also those of starts that were lost.
        self._gates: list[pauses.Gate] = []
        self._bids: set[tuple[model.HostId, int, int]] = set()
        self._restarting: set[model.HostId] = set()
        World.running = self
        wrappers.Watched.rng = random.Random(seed + 4)  # noqa: S311
        wrappers.Watched.steps = self.steps
        wrappers.Watched.record = self.seen

    def start(self) -> None:
        """Publish the configuration and start all hosts."""
        self.source.publish_snapshot(plan.records())
        for name in plan.HOSTS:
            self.start_host(name)

    def start_host(self, name: model.HostId) -> None:
        """Start a host, or start it again with an empty memory."""
        self._incarnation += 1
        made = hosts.Host(
            name,
            self._incarnation,
            self.network,
            self.source,
            self.targets,
            self.tasks,
            self.steps,
            self._seed,
        )
        if name in self.hosts:
            self._restarting.add(name)
        self.hosts[name] = made
        self._gates.append(made.gate)
        made.spawn(made.run)

    def stop_host(self, name: model.HostId) -> None:
        """Begin the planned stop of a host that runs."""
        host = self.hosts[name]
        if host.is_up:
            host.stop()

    def close(self) -> None:
        """Let all tasks run to their end; what they do is not looked at."""
        for gate in self._gates:
            gate.resume()

    def live(self) -> list[hosts.Host]:
        """Return the hosts that callers could connect to."""
        return [host for host in self.hosts.values() if host.is_up]

    def current(self) -> hosts.Host:
        """Return the host that runs now, or one at random."""
        gate = pauses.HOST.get()
        if gate is not None and self.hosts[gate.host].is_up:
            return self.hosts[gate.host]
        return self.rng.choice(self.live())

    def publish(
        self,
        put: tuple[catalog.Record, ...],
        delete: tuple[catalog.Deletion, ...],
        marks: dict[str, object],
    ) -> None:
        """Publish a change with a marker key that shows its version."""
        marker = f"marker-key-{self.source.version + 1}"
        record = plan.key_record(marker, "marker")
        version = self.source.publish((*put, record), delete)
        self.seen.published.append(
            seen.Published(version, marker_key=marker, **marks)  # type: ignore[arg-type]
        )

    def withdraw_key(self) -> None:
        """Withdraw a team's key and add a cold target, once."""
        if not self.is_withdrawn:
            self.is_withdrawn = True
            key = plan.KEYS["leaver"]
            digest = plan.digest_of(key).hex()
            self.publish(
                (plan.target(plan.ADDED),),
                (catalog.Deletion(catalog.Kind.KEY, digest),),
                {"withdrawn": key, "added": (plan.ADDED,)},
            )

    def move_out(self) -> None:
        """Take a zone out of service and let a target leave."""
        self.publish(
            (
                plan.target(plan.LEAVING, is_leaving=True),
                catalog.Zone(plan.ZONE_OUT, plan.REGION, is_out=True),
            ),
            (),
            {"leaving": (plan.LEAVING,), "zones_out": (plan.ZONE_OUT,)},
        )

    def _target(self, name: model.TargetId, is_cold: bool) -> targets.Target:
        rng = random.Random(f"{self.rng.random()}/{name}")  # noqa: S311
        return targets.Target(name, plan.SLOTS, self.seen, rng, is_cold)

    async def _wait_open(self, host: model.HostId) -> None:
        found = self.hosts.get(host)
        if found is not None:
            await found.gate.wait_open()

    @contextlib.contextmanager
    def _inside(self, host: model.HostId) -> collections.abc.Iterator[None]:
        with self.hosts[host].inside():
            yield

    def on_log(self, message: dict[str, object]) -> None:
        """Look for keys in an entry of the log."""
        text = repr(message)
        if any(secret.decode() in text for secret in self.secrets):
            self.seen.leaks.append("log entry")

    def _on_message(
        self,
        source: model.HostId,
        destination: model.HostId,
        content: peer.Message,
        frame: bytes,
    ) -> None:
        for secret in self.secrets:
            if secret in frame:
                name = peer.wire_tag(type(content))
                self.seen.leaks.append(f"peer message {name}")
        match content:
            case catalog_messages.ChangePush():
                self.steps.reach(steps.Step.SPREAD)
            case ownership_messages.VoteAsk():
                self._on_votes(source, content)
            case ownership_messages.HandOver():
                self.steps.reach(steps.Step.HANDOVER)
            case order_messages.SettleOrder():
                self.steps.reach(steps.Step.RECORD)
            case catalog_messages.VersionAsk():
                if source in self._restarting:
                    self._restarting.discard(source)
                    self.steps.reach(steps.Step.RESTART)

    def _on_votes(
        self, source: model.HostId, content: ownership_messages.VoteAsk
    ) -> None:
        for bid in content.bids:
            if bid.epoch == ownership_messages.PROBE_EPOCH:
                continue
            asked = (source, bid.number, bid.epoch)
            is_renewal = asked in self._bids
            self._bids.add(asked)
            self.steps.reach(
                steps.Step.RENEWAL if is_renewal else steps.Step.GRANT
            )
