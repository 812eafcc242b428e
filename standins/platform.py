"""Stand-in for the platform: values to read and watch, and a host list.

Published interface: ``GET /values/<name>`` with header ``Value-Version``,
``GET /values/<name>?after=<version>&wait_ms=<ms>`` as a watch (204 after the
wait), ``GET /hosts``. The ``/admin`` paths belong to the launcher that plays
the operators and the faults.
"""

import argparse
import asyncio
import json

from standins import asgi
from standins import serve

MAX_VALUE_BYTES = 1_000_000


class Platform:
    """Holds values and answers reads; can lag, go stale or go away."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[int, bytes]] = {}
        self.hosts: list[dict[str, str]] = []
        self.mode = "ok"
        self.lag_ms = 0.0
        self.read_count = 0
        self._stale: dict[str, tuple[int, bytes]] = {}
        self._changed = asyncio.Event()

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await asgi.run_lifespan(receive, send)
        elif scope["type"] != "http":
            return
        elif scope["path"].startswith("/admin/"):
            await self._administer(scope, receive, send)
        else:
            await self._read(scope, send)

    async def _read(self, scope: asgi.Scope, send: asgi.Send) -> None:
        self.read_count += 1
        if self.mode == "away":
            await asgi.answer(send, 503)
            return
        await asyncio.sleep(0.002)
        if scope["path"] == "/hosts":
            await asgi.answer_json(send, self.hosts)
            return
        name = scope["path"].removeprefix("/values/")
        query = asgi.query(scope)
        if "after" in query:
            await self._watch(name, query, send)
        else:
            await self._answer_value(name, send)

    async def _watch(
        self, name: str, query: dict[str, str], send: asgi.Send
    ) -> None:
        after = int(query["after"])
        end = asyncio.get_running_loop().time()
        end += float(query.get("wait_ms", "0")) / 1000
        while self._visible().get(name, (0, b""))[0] <= after:
            left_s = end - asyncio.get_running_loop().time()
            if left_s <= 0:
                await asgi.answer(send, 204)
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        if self.mode == "away":
            await asgi.answer(send, 503)
            return
        await self._answer_value(name, send)

    async def _answer_value(self, name: str, send: asgi.Send) -> None:
        found = self._visible().get(name)
        if found is None:
            await asgi.answer(send, 404)
            return
        version, body = found
        await asgi.answer(send, 200, body, [("Value-Version", str(version))])

    def _visible(self) -> dict[str, tuple[int, bytes]]:
        return self._stale if self.mode == "stale" else self.values

    async def _administer(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        body = await asgi.read_body(receive)
        path = scope["path"].removeprefix("/admin/")
        if path.startswith("values/"):
            await self._publish(path.removeprefix("values/"), body)
        elif path == "hosts":
            self.hosts = json.loads(body)
        elif path == "mode":
            self._stale = dict(self.values)
            self.mode = json.loads(body)["mode"]
            self._notify()
        await asgi.answer_json(send, {"reads": self.read_count})

    async def _publish(self, name: str, body: bytes) -> None:
        if len(body) > MAX_VALUE_BYTES:
            raise ValueError(f"value {name} has {len(body)} bytes")
        await asyncio.sleep(self.lag_ms / 1000)
        version = self.values.get(name, (0, b""))[0] + 1
        self.values[name] = (version, body)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def main() -> None:
    """Serve the platform until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bind", required=True, help="address:port")
    options = parser.parse_args()
    asyncio.run(serve.serve([(options.bind, Platform().app)]))


if __name__ == "__main__":
    main()
