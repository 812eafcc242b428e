"""One entry host of the matrix: the real parts upon fakes."""

import collections.abc
import contextlib
import random
import typing

import anyio
import anyio.abc

from bench import network
from bench.matrix import pauses
from bench.matrix import plan
from bench.matrix import source as sources
from bench.matrix import steps
from bench.matrix import target as targets
from bench.matrix import transport
from pomeloward import entry
from pomeloward import model
from pomeloward.gateway import assembly
from pomeloward.gateway import fleet
from pomeloward.gateway import gateway

_CONNECT_S = 0.001
_ACCEPTED_S = 0.01


class Host:
    """One start of a host, composed as ``gateway.Gateway`` composes it."""

    def __init__(
        self,
        name: model.HostId,
        incarnation: int,
        net: network.FakeNetwork,
        source: sources.Source,
        fakes: dict[model.TargetId, targets.Target],
        tasks: anyio.abc.TaskGroup,
        reached: steps.Steps,
        seed: int,
    ) -> None:
        self.name = name
        self.gate = pauses.Gate(name)
        self.is_up = True
        self.is_draining = False
        self.is_stopped = False
        self.open_calls = 0
        self.application: entry.Application | None = None
        self.down = anyio.Event()
        self.incarnation = model.Incarnation(incarnation)
        self._network = net
        self._source = source
        self._fakes = fakes
        self._tasks = tasks
        self._steps = reached
        # Hosts draw from streams of their own, like separate processes.
        self._rng = random.Random(f"{seed}/{name}/{incarnation}")  # noqa: S311
        self._gateway = gateway.Gateway(plan.host_settings(name))

    def spawn(
        self,
        function: collections.abc.Callable[
            ..., collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
        ],
        *args: typing.Any,
    ) -> None:
        """Run a task as part of this host's process."""
        with self.inside():
            self._tasks.start_soon(function, *args)

    @contextlib.contextmanager
    def inside(self) -> collections.abc.Iterator[None]:
        """Let tasks that are made here belong to this host."""
        token = pauses.HOST.set(self.gate)
        try:
            yield
        finally:
            pauses.HOST.reset(token)

    def crash(self) -> None:
        """Lose the process without any cleaning up."""
        if self.is_up:
            self.is_up = False
            self.gate.pause()
            self._network.stop(self.name)
            self.down.set()

    def stop(self) -> None:
        """Begin the planned stop."""
        self.is_draining = True
        self._gateway.stop()
        self._steps.reach(steps.Step.DRAIN)

    async def run(self) -> None:
        """Run all parts until the planned stop has ended."""
        settings = plan.host_settings(self.name)
        foundation = fleet.FleetFoundation(
            settings,
            self.incarnation,
            self._rng,
            self._network.peers(self.name),
            self._source,
        )
        parts = assembly.Assembly(
            settings,
            foundation,
            self.incarnation,
            self._rng,
            transport.FakeLinks(
                self.name, self._fakes, self._tasks, self._steps
            ),
            self._probe,
        )
        self.application = parts.application()
        started = anyio.Event()
        host = self._gateway
        async with anyio.create_task_group() as tasks:
            await tasks.start(parts.run)
            tasks.start_soon(foundation.run, parts.shared.users, started.set)
            tasks.start_soon(host._become_ready, started, foundation, parts)
            tasks.start_soon(gateway._watch_standing, foundation, parts)
            await host._stopping.wait()
            await host._drain(foundation, parts)
            # hypercorn still hands over what it has accepted by now.
            await anyio.sleep(_ACCEPTED_S)
            tasks.cancel_scope.cancel()
        self.is_up = False
        self.is_stopped = True
        self._network.stop(self.name)
        self.down.set()

    async def _probe(self, target: model.TargetId) -> bool:
        await anyio.sleep(_CONNECT_S)
        fake = self._fakes.get(target)
        return fake is not None and not fake.is_cut(self.name)
