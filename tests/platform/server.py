"""A stand-in for a server behind the fleet, over plain sockets."""

import contextlib
import json
import zlib

import anyio
import h11

from tests.platform import serving

# How long a crashed server accepts no connections.
_DOWN_S = 1.5


class Server:
    """Answers by ``behave``, which may be replaced while it runs.

    ``seen`` has the requests that arrived, as (id, headers, body). ``ran``
    has the ids of those that it ran, ``crashed_at_s`` the times of crashes.
    """

    def __init__(self, name, service, zone):
        self.name = name
        self.service = service
        self.zone = zone
        self.port = serving.steady_port()
        self.seen = []
        self.ran = []
        self.open = 0
        self.cut = 0
        self.crashed_at_s = []
        self.behave = answer

    def entry(self, **fields):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": 3,
            "state": "ready",
            "warmup-left-s": 0,
            "sequence": 1,
            "born": 1,
            **fields,
        }

    def entry_with(self, field, text):
        """Return the entry as JSON with the text of one field's value."""
        others = {
            name: value
            for name, value in self.entry().items()
            if name != field
        }
        start = json.dumps(others).encode()[:-1]
        return start + b', "%s": %s}' % (field.encode(), text)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        while True:
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=self.port
            )
            if not self.crashed_at_s:
                task_status.started()
            with anyio.CancelScope() as self._life:
                async with listener:
                    await listener.serve(self._connected)
            await anyio.sleep(_DOWN_S)

    def crash(self):
        """Close all connections, and accept none for a while."""
        self.crashed_at_s.append(anyio.current_time())
        self._life.cancel()

    async def _connected(self, stream):
        connection = h11.Connection(h11.SERVER)
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.RemoteProtocolError,
        ):
            async with stream:
                while await self._serve_one(stream, connection):
                    connection.start_next_cycle()

    async def _serve_one(self, stream, connection):
        head, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        headers = {k.decode(): v.decode() for k, v in head.headers}
        request = headers.get("x-request-id", "")
        self.seen.append((request, headers, body))
        self.open += 1
        try:
            await self.behave(self, stream, request, headers)
        except BaseException:
            self.cut += 1
            raise
        finally:
            self.open -= 1
        connection.send(
            h11.Response(status_code=200, headers=[("content-length", "0")])
        )
        connection.send(h11.EndOfMessage())
        return True


def head(request, status=200, length=None, extra=()):
    lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request}"]
    if status == 200:
        lines.append("X-Upstream-Signature: 1.2.3")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, *extra, "", ""]).encode()


async def answer(server, stream, request, headers):
    """Run the request and answer well."""
    server.ran.append(request)
    body = f"{server.name} ran {request}".encode()
    await stream.send(head(request, 200, len(body)) + body)


def limited(text):
    """Return a behavior that answers well and names a rate limit."""

    async def behave(server, stream, request, headers):
        server.ran.append(request)
        body = f"{server.name} ran {request}".encode()
        extra = [f"Server-Limit: {text}"]
        await stream.send(head(request, 200, len(body), extra) + body)

    return behave


async def leaving(server, stream, request, headers):
    """Answer well, and announce that the server ends soon."""
    server.ran.append(request)
    body = f"{server.name} ran {request}".encode()
    extra = ["Server-Leaving: 1"]
    await stream.send(head(request, 200, len(body), extra) + body)


def pausing(retry_after, is_marked=True):
    """Return a behavior that refuses, and names when to come back."""

    async def behave(server, stream, request, headers):
        extra = [f"Retry-After: {retry_after}"]
        if is_marked:
            extra.append("X-Not-Executed: 1")
        await stream.send(head(request, 503, 0, extra))

    return behave


async def hang(server, stream, request, headers):
    """Run the request and never answer."""
    server.ran.append(request)
    await stream.receive()
    raise anyio.EndOfStream


async def close(server, stream, request, headers):
    """Run the request, and close the connection without an answer."""
    server.ran.append(request)
    await stream.aclose()


async def shed(server, stream, request, headers):
    """Refuse without running."""
    await stream.send(head(request, 503, 0, ["X-Not-Executed: 1"]))


async def fail(server, stream, request, headers):
    """Run and fail."""
    server.ran.append(request)
    await stream.send(head(request, 500, 4) + b"fail")


async def lie(server, stream, request, headers):
    """Run, and answer 503 without the mark that tells of no run."""
    server.ran.append(request)
    await stream.send(head(request, 503, 0))


async def cut_short(server, stream, request, headers):
    """Run, and break off the answer."""
    server.ran.append(request)
    await stream.send(head(request, 200, 100) + b"half")
    await stream.aclose()


async def without_length(server, stream, request, headers):
    """Run, and end the answer with its connection."""
    server.ran.append(request)
    await stream.send(head(request) + b"to the end")
    await stream.aclose()


async def answer_twice(server, stream, request, headers):
    """Run once, and send the same answer a second time a little later."""
    await answer(server, stream, request, headers)
    await anyio.sleep(0.05)
    body = f"{server.name} ran {request}".encode()
    await stream.send(head(request, 200, len(body)) + body)


async def misplaced(server, stream, request, headers):
    """Answer as another server at the same address."""
    await stream.send(head(request, 421, 0))


async def unsigned(server, stream, request, headers):
    """Answer a success without the signature."""
    server.ran.append(request)
    lines = f"HTTP/1.1 200 X\r\nX-Request-Id: {request}\r\n"
    await stream.send(f"{lines}Content-Length: 2\r\n\r\nno".encode())


async def stutter(server, stream, request, headers):
    """Run, fail one request in three, and begin a second answer."""
    server.ran.append(request)
    draw = zlib.crc32(request.encode())
    status, body = (500, b"failed") if draw % 3 == 0 else (200, b"")
    if not body:
        body = f"{server.name} ran {request}".encode()
    sent = head(request, status, len(body), ["X-Cut: here or there"]) + body
    await stream.send(sent + sent[: draw // 3 % len(sent)])
