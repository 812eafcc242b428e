"""The hosts of a site."""

import contextlib
import pathlib

import anyio
import httpx

from tests.platform import serving
from tests.platform.site import shape as shapes

_KINDS = ("front", "ready", "control", "directory", "metrics", "relay")
_READY_S = 60.0


class Hosts:
    """Starts and stops ``pomeloward-edge`` processes."""

    def __init__(self, count, processes, directory, source, store_port):
        self._processes = processes
        self._directory = directory
        self._source = pathlib.Path(source).resolve()
        self._store_port = store_port
        self._ports = {kind: serving.steady_port() for kind in _KINDS}
        self.names = {
            f"host-{n}": (shapes.ZONES[n % 4], f"127.0.41.{n + 1}")
            for n in range(count)
        }

    def start(self, name, is_first=False):
        path = self._directory / f"{name}.toml"
        path.write_text(self._settings(name, is_first))
        self._processes.start(
            name,
            [
                "pomeloward.commands.edge",
                "--settings",
                path,
                "--metrics-port",
                self._ports["metrics"],
            ],
            self._source,
        )

    async def wait_ready(self):
        async with httpx.AsyncClient(trust_env=False) as client:
            with anyio.fail_after(_READY_S):
                for url in self.urls("ready"):
                    await _wait_until_ready(client, f"{url}/ready")

    def urls(self, kind):
        return [
            f"http://{address}:{self._ports[kind]}"
            for _, address in self.names.values()
        ]

    def _settings(self, name, is_first):
        zone, address = self.names[name]
        control = self._ports["control"]
        others = [ip for _, ip in self.names.values() if ip != address]
        seeds = [f"{ip}:{control}" for ip in others[:4]]
        listen = "".join(
            f'{kind} = "{address}:{self._ports[kind]}"\n'
            for kind in ("front", "ready", "control", "directory")
        )
        zones = "".join(f'{one} = "r"\n' for one in shapes.ZONES)
        return (
            f'node = "{name}"\nzone = "{zone}"\nregion = "r"\n'
            f"seeds = {seeds!r}\nbootstrap = {str(is_first).lower()}\n"
            f"port-range = [{self._ports['relay']}, {self._ports['relay']}]\n"
            f"[zones]\n{zones}[listen]\n{listen}"
            "[limits]\ncpu-share = 0.86\ncores = 1\nmax-fds = 4100\n"
            f'[platform]\naddress = "127.0.0.1:{self._store_port}"\n'
        )


async def _wait_until_ready(client, url):
    while True:
        with contextlib.suppress(httpx.HTTPError):
            if (await client.get(url)).status_code == 200:
                return
        await anyio.sleep(0.1)
