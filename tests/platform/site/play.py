"""Plays one seed of a site."""

import json
import pathlib
import random

import anyio

from tests.platform import serving
from tests.platform import store as stores
from tests.platform.site import configuration
from tests.platform.site import hosts as hosts_
from tests.platform.site import lag
from tests.platform.site import memory
from tests.platform.site import processes as processes_
from tests.platform.site import records
from tests.platform.site import summary
from tests.platform.site import targetprocesses

# The build that the hosts run unless another is asked for.
SOURCE = pathlib.Path(__file__).parents[3] / "src"
_HOST_PAUSE_S = 2.0
_TARGET_PAUSE_S = 0.5


class Site:
    """Everything that runs for one seed."""

    def __init__(self, shape, seed, duration_s, source, directory):
        self._shape = shape
        self._seed = seed
        self._duration_s = duration_s
        self._directory = directory
        # Each has its own, so that the stops of one don't shift those of the
        # other.
        self._host_rng = random.Random(f"{seed} hosts")
        self._target_rng = random.Random(f"{seed} targets")
        self._recorder = records.Recorder(directory / "site.jsonl")
        self._store = stores.Store()
        self._store_port = serving.steady_port()
        self._processes = processes_.Processes(directory)
        self._memory = memory.Memory(self._processes)
        self._hosts = hosts_.Hosts(
            shape.hosts, self._processes, directory, source, self._store_port
        )
        self._targets = targetprocesses.TargetProcesses(
            shape, seed, self._processes, directory, self._store
        )

    async def play(self):
        """Return the summary of the seed."""
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(serving.serve, self._store, self._store_port)
                await self._start()
                tasks.start_soon(lag.watch, self._recorder)
                tasks.start_soon(self._memory.watch)
                tasks.start_soon(self._stop_hosts, tasks)
                tasks.start_soon(self._stop_targets)
                await self._call()
                tasks.cancel_scope.cancel()
        finally:
            self._processes.kill_all()
        return summary.read(self._directory, self._memory)

    async def _start(self):
        self._store.put("op/config", configuration.configuration(self._shape))
        for name in self._targets.names:
            self._targets.start(name)
        for name in self._hosts.names:
            self._hosts.start(name, is_first=True)
        await self._hosts.wait_ready()

    async def _call(self):
        """Let the processes of callers run to their end."""
        count = self._shape.caller_processes
        names = [f"callers-{n}" for n in range(count)]
        for name in names:
            path = self._directory / f"{name}.json"
            path.write_text(
                json.dumps(
                    {
                        "name": name,
                        "seed": self._seed,
                        "duration_s": self._duration_s,
                        "callers": self._shape.callers,
                        "rate_per_s": self._shape.rate_per_s / count,
                        "directories": self._hosts.urls("directory"),
                    }
                )
            )
            self._processes.start(name, ["tests.platform.site.callers", path])
        for name in names:
            if await self._processes.wait(name) != 0:
                log = (self._directory / f"{name}.log").read_text()
                raise RuntimeError(f"{name} failed: {log[-2000:]}")

    async def _stop_hosts(self, tasks):
        """Stop hosts one after another, with overlap."""
        while True:
            for name in self._host_rng.sample(
                list(self._hosts.names), len(self._hosts.names)
            ):
                await anyio.sleep(self._shape.host_stop_gap_s)
                if self._processes.is_running(name):
                    is_killed = (
                        self._host_rng.random() < self._shape.kill_ratio
                    )
                    tasks.start_soon(self._restart_host, name, is_killed)

    async def _restart_host(self, name, is_killed):
        self._recorder.write("stop", name=name, is_killed=is_killed)
        status = await self._processes.stop(name, is_killed)
        self._recorder.write("stopped", name=name, status=status)
        await anyio.sleep(_HOST_PAUSE_S)
        self._hosts.start(name)

    async def _stop_targets(self):
        while True:
            for name in self._targets.names:
                await anyio.sleep(self._shape.target_stop_gap_s)
                await self._targets.stop(name, self._target_rng.random() < 0.5)
                await anyio.sleep(_TARGET_PAUSE_S)
                self._targets.start(name)


async def play(shape, seed, duration_s, source, directory):
    return await Site(shape, seed, duration_s, source, directory).play()
