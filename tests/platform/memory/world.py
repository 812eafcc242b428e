"""A host in a process of its own, at targets that send without end."""

import contextlib
import json
import math
import pathlib
import statistics
import subprocess
import sys
import urllib.request

import anyio
import anyio.to_thread
import httpx

from tests.platform import fleet
from tests.platform import server as servers
from tests.platform import serving
from tests.platform import store as stores

_ROOT = pathlib.Path(__file__).parents[3]
_KINDS = ("front", "ready", "control", "directory", "metrics", "relay")
_ADDRESS = "127.0.0.61"
_READY_CHECKS = 300
# The bounds on memory are to hold for any number of open answers.
_CONCURRENCY = 200
_SAMPLE_S = 0.1


class World:
    """Two services at one host: one is sound, one sends without end."""

    def __init__(self, directory, source=_ROOT / "src"):
        self.store = stores.Store()
        self._directory = directory
        self._source = source
        self._ports = {kind: serving.steady_port() for kind in _KINDS}
        self._store_port = serving.steady_port()
        self._process = None
        self._tasks = None

    @contextlib.asynccontextmanager
    async def running(self, behaviors):
        """Run a host whose ``orders`` targets have these behaviors."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(serving.serve, self.store, self._store_port)
            self.store.put("op/config", _configuration())
            for name in ("sound1", "sound2"):
                server = servers.Server(name, "sound", "a")
                await tasks.start(server.run)
                self._register(name, server.entry())
            with self._running_targets(behaviors), self._running_host():
                await self._wait_ready()
                yield self
            tasks.cancel_scope.cancel()

    async def call(self, path, mode, count, duration_s, seed=1):
        """Run callers in a process; return what they saw."""
        done = await anyio.run_process(
            [
                sys.executable,
                "-m",
                "tests.platform.memory.callers",
                f"--address={_ADDRESS}:{self._ports['front']}",
                f"--path={path}",
                f"--mode={mode}",
                f"--count={count}",
                f"--duration-s={duration_s}",
                f"--seed={seed}",
            ],
            cwd=_ROOT,
            env={"PYTHONPATH": f"{_ROOT / 'src'}:{_ROOT}"},
            stderr=None,
        )
        return json.loads(done.stdout)

    async def load(self, mode, count, duration_s):
        """Call both services; return the peak memory and sound calls."""
        seen = {}

        async def call(name, *arguments):
            seen[name] = await self.call(*arguments)

        async with anyio.create_task_group() as sampling:
            sampling.start_soon(self._sample, seen)
            async with anyio.create_task_group() as calling:
                if count:
                    calling.start_soon(
                        call, "harmful", "/safe/", mode, count, duration_s
                    )
                calling.start_soon(
                    call, "sound", "/sound/", "read", 4, duration_s, 2
                )
            sampling.cancel_scope.cancel()
        return seen["peak_mb"], seen["sound"]

    def resident_mb(self):
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        for line in status.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1_024
        raise AssertionError("the host has ended")

    async def metric(self, name):
        """Return the value of a gauge of the host."""
        url = f"http://{_ADDRESS}:{self._ports['metrics']}/metrics"

        def read():
            with urllib.request.urlopen(url, timeout=5) as answer:
                return answer.read().decode()

        for line in (await anyio.to_thread.run_sync(read)).splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[1])
        raise KeyError(name)

    def log(self):
        return (self._directory / "host.log").read_text()

    async def _sample(self, seen):
        seen["peak_mb"] = 0.0
        while True:
            seen["peak_mb"] = max(seen["peak_mb"], self.resident_mb())
            await anyio.sleep(_SAMPLE_S)

    def _register(self, name, entry):
        entry = {**entry, "max-concurrency": _CONCURRENCY}
        self.store.put(f"servers/{name}", entry)

    @contextlib.contextmanager
    def _running_targets(self, names):
        """Run targets of ``orders`` in a process, as they keep it busy."""
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.memory.targets", *names],
            cwd=_ROOT,
            env={"PYTHONPATH": f"{_ROOT / 'src'}:{_ROOT}"},
            stdout=subprocess.PIPE,
        )
        try:
            for name, entry in json.loads(process.stdout.readline()).items():
                self._register(name, entry)
            yield
        finally:
            process.kill()
            process.communicate()

    @contextlib.contextmanager
    def _running_host(self):
        path = self._directory / "host.toml"
        path.write_text(self._settings())
        with (self._directory / "host.log").open("wb") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    "import sys; from pomeloward.commands import edge; "
                    "sys.exit(edge.main(sys.argv[1:]))",
                    f"--settings={path}",
                    f"--metrics-port={self._ports['metrics']}",
                ],
                cwd=self._directory,
                env={"PYTHONPATH": str(self._source)},
                stdout=log,
                stderr=log,
            )
        try:
            yield
        finally:
            self._process.kill()
            self._process.wait()

    async def _wait_ready(self):
        url = f"http://{_ADDRESS}:{self._ports['ready']}/ready"
        async with httpx.AsyncClient(trust_env=False) as client:
            for _ in range(_READY_CHECKS):
                with contextlib.suppress(httpx.HTTPError):
                    if (await client.get(url)).status_code == 200:
                        return
                await anyio.sleep(0.1)
        raise TimeoutError("the host is not ready")

    def _settings(self):
        listen = "".join(
            f'{kind} = "{_ADDRESS}:{self._ports[kind]}"\n'
            for kind in ("front", "ready", "control", "directory")
        )
        return (
            'node = "n1"\nzone = "a"\nregion = "r"\n'
            f'seeds = ["{_ADDRESS}:{self._ports["control"]}"]\n'
            "bootstrap = true\n"
            f"port-range = [{self._ports['relay']}, {self._ports['relay']}]\n"
            f'[zones]\na = "r"\n[listen]\n{listen}'
            "[limits]\ncpu-share = 0.86\ncores = 1\nmax-fds = 8000\n"
            f'[platform]\naddress = "127.0.0.1:{self._store_port}"\n'
        )


def percentile_ms(seen, percent):
    """Return a percentile of the times that callers waited."""
    times_ms = seen["took_ms"]
    if len(times_ms) < 2:
        return math.inf
    return statistics.quantiles(times_ms, n=100)[percent - 1]


def _configuration():
    """Return a configuration with a second service and large limits."""
    made = fleet.configuration()
    rows = [list(row) for row in made["routes"]["rows"]]
    sound = [*rows[0][:-1], "sound"]
    sound[0], sound[2] = "sound", "/sound/"
    # As long as callers wait, so that answers are held for long.
    rows[0][4] = 3.0
    services = made["services"]
    service = list(services["rows"][0])
    service[2] = 4_000
    return {
        **made,
        "routes": {
            "columns": made["routes"]["columns"],
            "rows": [*rows, sound],
        },
        "services": {
            "columns": services["columns"],
            "rows": [service, ["sound", *service[1:]]],
        },
        "tenants": {
            "columns": ["name", "api-keys", "priority", "rate-per-s", "burst"],
            "rows": [["huka", [fleet.KEY], 1, 10_000, 10_000]],
        },
    }
