"""The processes, servers and callers of one seed."""

import collections
import contextlib
import functools
import itertools
import pathlib
import random
import signal
import subprocess
import sys

import anyio
import httpx

from tests.platform import fleet
from tests.platform import server as servers
from tests.platform import serving
from tests.platform import store as stores
from tests.platform.soak import proxy
from tests.platform.soak import record

_ROOT = pathlib.Path(__file__).parents[3]
_KINDS = ("front", "ready", "control", "directory", "metrics", "relay")
ZONES = ("a", "b")
_CALLERS = 6
# The number of the caller that a fault brings along.
_EXTRA_CALLER = _CALLERS
_PAUSE_S = 0.05
_LAST_CONNECTIONS_S = 0.2
# Ten checks a second for a minute.
_READY_CHECKS = 600
# A tick of the loop that is this late shows that the machine ran short of
# processor time, which the users' rules count as a slow-down of all hosts.
_TICK_S = 0.05
_STALL_S = 0.25
_KEYS = [f"key-number-{n}" for n in range(6)]


class World:
    """Everything that runs for one seed."""

    def __init__(self, seed, directory, plant, first_octet):
        self.rng = random.Random(seed)
        self.record = record.Record()
        self.store = stores.Store()
        self.servers = {}
        self.proxies = {}
        self.processes = {}
        self.hosts = {
            f"{zone}{n}": f"127.0.{first_octet}.{10 + 10 * z + n}"
            for z, zone in enumerate(ZONES)
            for n in range(2)
        }
        self.version = 1
        self.keys = list(_KEYS)
        self.has_new_route = False
        self.is_over = False
        # Rate limits that servers name now.
        self.limits = {}
        self._starts = collections.Counter()
        self._published = {}
        self._sequence = itertools.count(1)
        self._plant = plant
        self._directory = directory
        self._ports = {kind: serving.steady_port() for kind in _KINDS}
        self._store_port = serving.steady_port()
        self.store_proxy = proxy.Proxy(serving.steady_port(), self._store_port)
        self._ids = itertools.count(1)
        self._tasks = None

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._start_store()
            for zone in ZONES:
                for n in range(3):
                    await self.add_server(f"{zone}-s{n}", zone)
            self.publish()
            for name in self.hosts:
                self.start(name, is_first=True)
            try:
                await self._wait_ready()
                tasks.start_soon(self._watch_stalls)
                for number in range(_CALLERS):
                    tasks.start_soon(self._caller, number)
                yield self
            finally:
                self.is_over = True
                for name in list(self.processes):
                    self.end(name)
                # asyncio reports connections that a listener accepts while
                # it is cancelled, as errors.
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(_LAST_CONNECTIONS_S)
                tasks.cancel_scope.cancel()

    def publish(self):
        """Write the configuration at its next version."""
        self.version += self.rng.randint(1, 3)
        published = fleet.configuration(self.version)
        published["tenants"] = {
            "columns": ["name", "api-keys"],
            "rows": [["team", self.keys]],
        }
        if self.has_new_route:
            routes = published["routes"]
            first = list(routes["rows"][0])
            first[0], first[2] = "new", "/new/"
            published["routes"] = {
                "columns": routes["columns"],
                "rows": [*routes["rows"], first],
            }
        self._published = published
        self.store.put("op/config", published)

    def write_again(self):
        """Write what the operators and servers wrote before a restoration."""
        self.store.put("op/config", self._published)
        for name in [*self.record.draining, *self._starts]:
            state = "draining" if name in self.record.draining else "ready"
            self.store.put(f"servers/{name}", self.entry(name, state=state))
        out = {
            zone
            for zone, _, until_s in self.record.zones_out
            if until_s == float("inf")
        }
        for zone in ZONES:
            key = f"op/evacuate/{zone}"
            if zone in out:
                self.store.put(key, {})
            elif key in self.store.items:
                self.store.delete(key)

    async def add_server(self, name, zone):
        made = servers.Server(name, "orders", zone)
        made.behave = functools.partial(self._behave, servers.answer)
        await self._tasks.start(made.run)
        self.servers[name] = made
        self.proxies[name] = proxy.Proxy(serving.steady_port(), made.port)
        await self._tasks.start(self.proxies[name].run)
        self.store.put(f"servers/{name}", self.entry(name))

    def entry(self, name, **fields):
        address = f"127.0.0.1:{self.proxies[name].port}"
        return self.servers[name].entry(
            address=address,
            sequence=next(self._sequence),
            born=1 + self._starts[name],
            **fields,
        )

    def restart_server(self, name):
        """Write the entry of a server that has started anew."""
        self._starts[name] += 1
        if name not in self.record.draining:
            self.store.put(f"servers/{name}", self.entry(name))

    def set_behaviour(self, name, behave):
        self.servers[name].behave = functools.partial(self._behave, behave)

    def start(self, name, is_first=False):
        path = self._directory / f"{name}.toml"
        path.write_text(self._settings(name, is_first))
        log = (self._directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tests.platform.soak.planted",
                self._plant,
                "--settings",
                str(path),
                "--metrics-port",
                str(self._ports["metrics"]),
            ],
            cwd=_ROOT,
            env={
                "PYTHONPATH": f"{_ROOT / 'src'}:{_ROOT}",
                "POMELOWARD_CUT_FILE": str(self._cut_file(name)),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, name, number):
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def end(self, name):
        process = self.processes.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()

    @contextlib.contextmanager
    def cut_from_servers(self, names):
        """Let hosts reach no server, on new or kept connections."""
        cuts = {self.hosts[name]: anyio.Event() for name in names}
        ports = " ".join(str(one.port) for one in self.proxies.values())
        for name in names:
            self._cut_file(name).write_text(ports)
        for link in self.proxies.values():
            link.cuts = cuts
        try:
            yield
        finally:
            for name in names:
                self._cut_file(name).unlink()
            for link in self.proxies.values():
                link.cuts = {}
            for cut in cuts.values():
                cut.set()

    async def call_all_hosts(self, duration_s):
        """Send look-ups to each host for a while."""
        async with (
            httpx.AsyncClient(trust_env=False, timeout=4.0) as client,
            anyio.create_task_group() as tasks,
        ):
            end_s = anyio.current_time() + duration_s
            while anyio.current_time() < end_s and not self.is_over:
                for address in self.hosts.values():
                    host = f"{address}:{self._ports['front']}"
                    tasks.start_soon(
                        self._call, client, host, _EXTRA_CALLER, "/safe/"
                    )
                await anyio.sleep(2 * _PAUSE_S)
            tasks.cancel_scope.cancel()

    async def send_deadly(self, address, path):
        """Send a request to a host that crashes the servers that run it."""
        headers = {
            "Host": fleet.HOST,
            "X-Request-Id": f"deadly-{next(self._ids):06}",
            "X-Timeout-Ms": "1500",
            "X-Deadly": path,
            "Authorization": f"Token {self.keys[0]}",
        }
        url = f"http://{address}:{self._ports['front']}{path}"
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as client:
            with contextlib.suppress(httpx.HTTPError):
                await client.get(url, headers=headers)

    def _cut_file(self, name):
        return self._directory.resolve() / f"{name}.cut"

    async def _start_store(self):
        await self._tasks.start(serving.serve, self.store, self._store_port)
        await self._tasks.start(self.store_proxy.run)

    async def _watch_stalls(self):
        """Note when this process, and so probably all, got no time."""
        while True:
            began_s = anyio.current_time()
            await anyio.sleep(_TICK_S)
            now_s = anyio.current_time()
            if now_s - began_s - _TICK_S > _STALL_S:
                self.record.disturb("*", began_s, now_s)
                self.record.stalls += 1

    async def _wait_ready(self):
        async with httpx.AsyncClient(trust_env=False) as client:
            for ip_address in self.hosts.values():
                url = f"http://{ip_address}:{self._ports['ready']}/ready"
                for _ in range(_READY_CHECKS):
                    if await _is_ready(client, url):
                        break
                    await anyio.sleep(0.1)
                else:
                    raise TimeoutError(f"{ip_address} is not ready")

    async def _behave(self, behave, server, stream, request, headers):
        """Note a request at a server, and behave."""
        now_s = anyio.current_time()
        port = stream.extra(anyio.abc.SocketAttribute.remote_port)
        sender = self.proxies[server.name].callers.get(port, "")
        arrival = record.Arrival(request, server.name, now_s, sender)
        self.record.arrivals.append(arrival)
        if "x-deadly" in headers:
            self.record.crashes.append((headers["x-deadly"], arrival))
            self.proxies[server.name].crash()
            server.crash()
            await anyio.sleep_forever()
        before = len(server.ran)
        try:
            await behave(server, stream, request, headers)
        finally:
            for name in server.ran[before:]:
                if name == request:
                    self.record.runs.append((name, server.name, now_s))

    async def _caller(self, number):
        zone = ZONES[number % 2]
        async with httpx.AsyncClient(trust_env=False, timeout=4.0) as client:
            addresses, until_s = [], 0.0
            while not self.is_over:
                await anyio.sleep(self.rng.uniform(0, 2 * _PAUSE_S))
                if anyio.current_time() >= until_s:
                    found = await self._resolve(client, zone)
                    addresses = found or addresses
                    until_s = anyio.current_time() + 2.0
                if addresses:
                    host = self.rng.choice(addresses)
                    await self._call(client, host, number)

    async def _resolve(self, client, zone):
        for ip_address in self.rng.sample(list(self.hosts.values()), 3):
            url = f"http://{ip_address}:{self._ports['directory']}/resolve"
            try:
                answer = await client.get(
                    url, params={"name": fleet.HOST, "zone": zone}, timeout=1
                )
                return answer.json()["addresses"]
            except (httpx.HTTPError, ValueError, KeyError):
                continue
        return []

    async def _call(self, client, host, number, path=None):
        if path is None:
            path = "/order/" if self.rng.random() < 0.6 else "/safe/"
            if self.has_new_route and self.rng.random() < 0.3:
                path = "/new/"
        is_order = path == "/order/"
        one = record.Request(
            id=f"q{number}-{next(self._ids):06}",
            is_order=is_order,
            key=self.rng.choice(_KEYS),
            path=path,
            host=host.partition(":")[0],
            sent_s=anyio.current_time(),
        )
        self.record.requests[one.id] = one
        headers = {
            "Host": fleet.HOST,
            "X-Request-Id": one.id,
            "X-Timeout-Ms": "3000",
            "Authorization": f"Token {one.key}",
        }
        method = "POST" if is_order else "GET"
        try:
            answer = await client.request(
                method, f"http://{host}{path}", headers=headers
            )
            one.status, one.body = answer.status_code, answer.text
        except httpx.HTTPError as error:
            one.body = type(error).__name__
        one.ended_s = anyio.current_time()

    def _settings(self, name, is_first):
        ip_address, control = self.hosts[name], self._ports["control"]
        seeds = [f"{ip}:{control}" for ip in self.hosts.values()][1:]
        listen = "".join(
            f'{kind} = "{ip_address}:{self._ports[kind]}"\n'
            for kind in ("front", "ready", "control", "directory")
        )
        return (
            f'node = "{name}"\nzone = "{name[0]}"\nregion = "r"\n'
            f"seeds = {seeds!r}\nbootstrap = {str(is_first).lower()}\n"
            f"port-range = [{self._ports['relay']}, {self._ports['relay']}]\n"
            f'[zones]\na = "r"\nb = "r"\n[listen]\n{listen}'
            f'[platform]\naddress = "127.0.0.1:{self.store_proxy.port}"\n'
        )


async def _is_ready(client, url):
    try:
        return (await client.get(url)).status_code == 200
    except httpx.HTTPError:
        return False
