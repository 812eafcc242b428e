"""The processes of targets, and their entries in the store."""

import collections
import itertools
import json
import time

import anyio

from tests.platform import serving
from tests.platform.site import shape as shapes

_DRAIN_S = 0.6


class TargetProcesses:
    """Starts and stops processes with several targets each."""

    def __init__(self, shape, seed, processes, directory, store):
        self._shape = shape
        self._seed = seed
        self._processes = processes
        self._directory = directory
        self._store = store
        self._starts = collections.Counter()
        self._sequence = itertools.count(1)
        self._entries = {}
        self.names = {}
        services = [
            service
            for service, count in shape.targets.items()
            for _ in range(count)
        ]
        for n, service in enumerate(services):
            name = f"targets-{n % shape.target_processes}"
            self.names.setdefault(name, []).append(
                {
                    "name": f"{service}-{n}",
                    "service": service,
                    "zone": shapes.ZONES[n % 4],
                    "port": serving.steady_port(),
                }
            )

    def start(self, name):
        """Start a process; its targets have new ids."""
        self._starts[name] += 1
        start = self._starts[name]
        plans = [
            {**one, "id": f"{one['name']}-{start}"} for one in self.names[name]
        ]
        path = self._directory / f"{name}-{start}.json"
        path.write_text(
            json.dumps(
                {
                    "seed": self._seed,
                    "targets": plans,
                    "behaviour": {
                        "latency_ms": self._shape.latency_ms,
                        "failure_ratio": self._shape.failure_ratio,
                        "gray_ratio": self._shape.gray_ratio,
                        "second_ratio": self._shape.second_ratio,
                        "idle_limit_s": self._shape.idle_limit_s,
                    },
                }
            )
        )
        self._processes.start(name, ["tests.platform.site.targets", path])
        self._entries[name] = {
            one["id"]: _entry(one, time.time_ns() // 1_000_000)
            for one in plans
        }
        self._put(name, "ready")

    async def stop(self, name, is_announced):
        """Stop a process, which may announce that before."""
        if is_announced:
            self._put(name, "draining")
            await anyio.sleep(_DRAIN_S)
        status = await self._processes.stop(name)
        if status != 0:
            raise RuntimeError(f"{name} ended with {status}: see its log")
        for target in self._entries.pop(name):
            self._store.delete(f"servers/{target}")

    def _put(self, name, state):
        for target, entry in self._entries[name].items():
            sequence = next(self._sequence)
            self._store.put(
                f"servers/{target}",
                {**entry, "state": state, "sequence": sequence},
            )


def _entry(plan, born):
    return {
        "service": plan["service"],
        "address": f"127.0.0.1:{plan['port']}",
        "zone": plan["zone"],
        "version": "v1",
        "max-concurrency": 3,
        "warmup-left-s": 0,
        "born": born,
    }
