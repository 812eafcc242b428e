"""A server that writes scripted bytes for each request of a connection."""

import contextlib
import ssl

import anyio
import httpx

from pomeloward import wire

_TLS = ssl.create_default_context()


class ScriptedServer:
    """Writes ``scripts[n]`` for the n-th request of each connection.

    A script is a list of byte strings and of pauses in seconds. An empty
    one closes the connection. With ``closes`` it is closed after the last.
    """

    def __init__(self, *scripts, closes=False):
        self.scripts = scripts
        self.closes = closes
        self.connections = 0
        self.requests = []
        self.port = 0

    @contextlib.asynccontextmanager
    async def running(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            yield self
            tasks.cancel_scope.cancel()
        await listener.aclose()

    async def _serve(self, stream):
        self.connections += 1
        received = b""
        async with stream:
            for script in self.scripts:
                while b"\r\n\r\n" not in received:
                    with contextlib.suppress(anyio.EndOfStream):
                        received += await stream.receive()
                        continue
                    return
                head, _, received = received.partition(b"\r\n\r\n")
                self.requests.append(head)
                if not script:
                    return
                with contextlib.suppress(anyio.BrokenResourceError):
                    for step in script:
                        if isinstance(step, bytes):
                            await stream.send(step)
                        else:
                            await anyio.sleep(step)
            if not self.closes:
                await anyio.sleep_forever()


class Caller:
    """Sends requests over a transport, and collects the stray bytes."""

    def __init__(self, server, max_connections=4):
        self.strays = []
        self.uses = []
        self._url = f"http://127.0.0.1:{server.port}/"
        self.transport = wire.Transport(
            max_connections,
            wire.ConnectionSettings(
                "127.0.0.1",
                _TLS,
                30.0,
                self.strays.append,
            ),
        )

    async def get(self, request_id, method="GET", **extensions):
        """Return the status, the headers and the body of the answer."""

        async def trace(event, info):
            self.uses.append(info["use"])

        request = httpx.Request(
            method,
            self._url,
            headers={"X-Request-Id": request_id},
            extensions={"trace": trace, **extensions},
        )
        response = await self.transport.handle_async_request(request)
        body = await response.aread()
        await response.aclose()
        return response.status_code, response.headers, body


def answer(request_id, status=200, body=b"ok", reason=b"OK", extra=()):
    """Return a whole answer as bytes."""
    lines = [
        b"HTTP/1.1 %d %s" % (status, reason),
        b"Date: Sat, 05 Dec 2026 10:00:00 GMT",
        b"X-Request-Id: %s" % request_id.encode(),
        b"X-Upstream-Signature: 1.2.3",
        *extra,
        b"Content-Length: %d" % len(body),
    ]
    return b"\r\n".join([*lines, b"", body])
