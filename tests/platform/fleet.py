"""A store, servers and hosts in one loop, for tests of the whole path."""

import contextlib
import itertools

import anyio
import httpx

from pomeloward import edge
from pomeloward import platform
from tests.platform import server as servers
from tests.platform import serving
from tests.platform import store as stores

KEY = "2b9wu3fexd9dnn2ctnfz"
HOST = "api.example"
_IDS = itertools.count(1)

_ROUTES = {
    "columns": [
        "name",
        "host",
        "prefix",
        "kind",
        "timeout-s",
        "target-latency-s",
        "priority",
        "weighted-backends",
        "max-attempts",
        "public",
        "service",
    ],
    "rows": [
        [
            "safe",
            HOST,
            "/safe/",
            "idempotent",
            2.0,
            0.3,
            2,
            None,
            2,
            False,
            "orders",
        ],
        [
            "order",
            HOST,
            "/order/",
            "non_idempotent",
            1.0,
            0.3,
            1,
            None,
            2,
            False,
            "orders",
        ],
        [
            "open",
            HOST,
            "/open/",
            "idempotent",
            2.0,
            0.3,
            2,
            None,
            2,
            True,
            "orders",
        ],
    ],
}


def configuration(version=1, **fields):
    return {
        "version": f"r{version}",
        "routes": _ROUTES,
        "services": {
            "columns": [
                "name",
                "health-path",
                "max-connections",
                "protocol",
                "tls",
                "warmup-s",
                "warmup-per-s",
            ],
            "rows": [["orders", "/health", 390, "h1", False, 3.0, 11.0]],
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "tenants": {
            "columns": ["name", "api-keys", "priority", "rate-per-s", "burst"],
            "rows": [["huka", [KEY], 1, 1000, 1000]],
        },
        **fields,
    }


class Fleet:
    """What a test drives."""

    def __init__(self, directory, zones):
        self.store = stores.Store()
        self.servers = {}
        self.addresses = {}
        kinds = (
            "front",
            "ready",
            "control",
            "directory",
            "metrics",
            "relay",
        )
        self.ports = {kind: serving.steady_port() for kind in kinds}
        self.nodes = {}
        self.scopes = {}
        self.client = httpx.AsyncClient(trust_env=False, timeout=5.0)
        self._directory = directory
        self._zones = zones
        self._store_port = serving.steady_port()
        self._tasks = None
        self._scope = None

    @contextlib.asynccontextmanager
    async def running(self, nodes=("n1",), names=("s1", "s2"), zone="a"):
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(serving.serve, self.store, self._store_port)
            self.store.put("op/config", configuration())
            for name in names:
                await self.add_server(name, zone)
            for name in nodes:
                self._plan(name)
            for name in nodes:
                self.start_node(name, self._zones[0])
            for name in nodes:
                await self.wait_ready(name)
            yield self
            await self.client.aclose()
            tasks.cancel_scope.cancel()

    async def add_server(self, name, zone="a"):
        server = servers.Server(name, "orders", zone)
        await self._tasks.start(server.run)
        self.servers[name] = server
        self.store.put(f"servers/{name}", server.entry())
        return server

    def start_node(self, name, zone, is_first=True):
        path = self.settings_path(name)
        path.write_text(self._settings(name, zone, is_first))
        node = edge.EdgeServer(
            lambda: platform.load_settings(path),
            platform.HttpStoreClient(platform.load_settings(path).store),
            platform.HTTP_CONVENTIONS,
            platform.AddressLookupFormat(),
            self.ports["metrics"],
        )
        scope = anyio.CancelScope()
        self.nodes[name], self.scopes[name] = node, scope
        self._tasks.start_soon(self._run_node, node, scope)

    async def wait_ready(self, name):
        url = self.url(name, "ready") + "/ready"
        with anyio.fail_after(10):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if (await self.client.get(url)).status_code == 200:
                        return
                await anyio.sleep(0.05)

    async def get(self, path, node="n1", **fields):
        return await self.request("GET", path, node, **fields)

    async def request(
        self, method, path, node="n1", key=KEY, headers=(), **fields
    ):
        sent = {
            "Host": HOST,
            "X-Request-Id": f"q{next(_IDS):08}",
            "X-Timeout-Ms": "3000",
            **dict(headers),
        }
        if key:
            sent["Authorization"] = f"Token {key}"
        url = self.url(node, "front") + path
        return await self.client.request(method, url, headers=sent, **fields)

    def settings_path(self, name):
        return self._directory / f"{name}.toml"

    def url(self, node, kind):
        return f"http://{self.addresses[node]}:{self.ports[kind]}"

    async def resolve(self, node="n1", zone="a"):
        answer = await self.client.get(
            self.url(node, "directory") + "/resolve",
            params={"name": HOST, "region": "r", "zone": zone},
        )
        return answer.json()

    def seen(self):
        return [one for s in self.servers.values() for one in s.seen]

    def ran(self):
        return [one for s in self.servers.values() for one in s.ran]

    def _plan(self, name):
        """Give a host an address of its own; ports are the same on all."""
        self.addresses[name] = f"127.0.0.{len(self.addresses) + 11}"

    @staticmethod
    async def _run_node(node, scope):
        with scope:
            await node.run()

    def _settings(self, name, zone, is_first):
        control = self.ports["control"]
        seeds = [f"{ip}:{control}" for ip in self.addresses.values()][:3]
        zones = "".join(f'{one} = "r"\n' for one in self._zones)
        return (
            f'node = "{name}"\nzone = "{zone}"\nregion = "r"\n'
            f"seeds = {seeds!r}\nbootstrap = {str(is_first).lower()}\n"
            'bounds = ["retry-budget-ratio=0.2", "budget-slack=64"]\n'
            f"port-range = [{self.ports['relay']}, {self.ports['relay']}]\n"
            f"[zones]\n{zones}[listen]\n"
            + "".join(
                f'{kind} = "{self.addresses[name]}:{self.ports[kind]}"\n'
                for kind in ("front", "ready", "control", "directory")
            )
            + "[limits]\ncpu-share = 0.86\ncores = 1\nmax-fds = 1000\n"
            f'[platform]\naddress = "127.0.0.1:{self._store_port}"\n'
        )
