"""A host with fake targets in one loop, for tests of the request path."""

import base64
import contextlib
import dataclasses
import hashlib
import json
import socket

import anyio
import h11

from pomeloward import gateway
from pomeloward import settings
from pomeloward.gateway import sole

KEY = "secret-key-of-team-one"
OTHER_KEY = "secret-key-of-team-two"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclasses.dataclass
class Seen:
    """A request as a target saw it."""

    head: bytes
    body: bytes


class FakeTarget:
    """A target that answers each request through ``respond``.

    ``respond`` gets the stream and what was seen, and may send any bytes.
    """

    def __init__(self, respond):
        self.port = free_port()
        self.seen = []
        self.disconnected = anyio.Event()
        self._respond = respond
        self._arrived = anyio.Event()

    @property
    def url(self):
        return f"http://127.0.0.1:{self.port}"

    async def wait_seen(self, count):
        with anyio.fail_after(5):
            while len(self.seen) < count:
                self._arrived = anyio.Event()
                await self._arrived.wait()

    async def serve(self, task_status):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._connection)

    async def _connection(self, stream):
        async with stream:
            try:
                while True:
                    seen = await _read(stream)
                    self.seen.append(seen)
                    self._arrived.set()
                    await self._respond(stream, seen)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                h11.RemoteProtocolError,
            ):
                self.disconnected.set()


async def _read(stream):
    parser = h11.Connection(h11.SERVER)
    raw = b""
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive()
            raw += data
            parser.receive_data(data)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Seen(raw.partition(b"\r\n\r\n")[0], body)


def answer(body=b"ok", status=200, headers=()):
    """Return a respond function with one fixed answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def respond(stream, seen):
        await stream.send(head + body)

    return respond


def records(targets, keys=(KEY, OTHER_KEY), **route):
    listed = [
        {"type": "region", "id": "r", "partitions": 4},
        {"type": "zone", "id": "z", "region": "r"},
        {
            "type": "host",
            "id": "h1",
            "zone": "z",
            "region": "r",
            "address": "127.0.0.1",
            "caller_port": 8100,
            "peer_port": 8200,
        },
        {"type": "service", "id": "s", "slots_per_target": 4},
        {"type": "route", "id": "read", "service": "s", "path_prefix": "/"}
        | {"methods": ["GET", "PUT", "POST"]}
        | route,
        {
            "type": "route",
            "id": "order",
            "service": "s",
            "path_prefix": "/order",
            "methods": ["POST"],
            "is_idempotent": False,
        },
        {
            "type": "route",
            "id": "open",
            "service": "s",
            "path_prefix": "/open",
            "access": "open",
        },
    ]
    for number, key in enumerate(keys):
        digest = hashlib.sha256(key.encode()).digest()
        team = f"team{number}"
        listed.append(
            {
                "type": "team",
                "id": team,
                "rate_per_s": 1000,
                "burst_requests": 1000,
            }
        )
        listed.append(
            {
                "type": "key",
                "digest": base64.b64encode(digest).decode(),
                "team": team,
            }
        )
    for number, target in enumerate(targets):
        listed.append(
            {
                "type": "target",
                "id": f"t{number}",
                "service": "s",
                "zone": "z",
                "site": "a",
                "url": target.url,
            }
        )
    return listed


@dataclasses.dataclass
class Host:
    """A running host, its address and the file of its configuration."""

    gateway: gateway.Gateway
    port: int
    file: object
    ended: anyio.Event

    @property
    def url(self):
        return f"http://127.0.0.1:{self.port}"

    def configure(self, listed):
        self.file.write_text(json.dumps(listed))
        self.gateway.replace(sole.load_configuration(self.file))


@contextlib.asynccontextmanager
async def running(tmp_path, *responds, limits=None, **route):
    """Run a host with one target for each of ``responds``."""
    targets = [FakeTarget(respond) for respond in responds]
    file = tmp_path / "records.json"
    file.write_text(json.dumps(records(targets, **route)))
    port = free_port()
    parsed = settings.parse_document(
        {
            "host_id": "h1",
            "zone": "z",
            "region": "r",
            "address": "127.0.0.1",
            "caller_port": port,
            "configuration_file": str(file),
            "drain": {"accept_ms": 50.0},
            "logs": {"file": "", "request_ratio": 1.0},
            "limits": limits or {},
        }
    )
    host = Host(gateway.Gateway(parsed), port, file, anyio.Event())
    async with anyio.create_task_group() as tasks:
        for target in targets:
            await tasks.start(
                lambda task_status, t=target: t.serve(task_status)
            )

        async def run():
            await host.gateway.run()
            host.ended.set()

        tasks.start_soon(run)
        await _reachable(port)
        # The budget of a new owner starts empty.
        await anyio.sleep(0.1)
        yield host, targets
        host.gateway.stop()
        with anyio.fail_after(10):
            await host.ended.wait()
        tasks.cancel_scope.cancel()


async def _reachable(port):
    with anyio.fail_after(5):
        while True:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.sleep(0.01)
            else:
                await stream.aclose()
                return


async def raw_request(port, data, until=b"\r\n\r\n"):
    """Send bytes and return what comes until ``until`` or the end."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(data)
        with anyio.move_on_after(3):
            try:
                while until not in received:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
    return received
