"""Behaviors of targets that send more than they should."""

import contextlib
import json
import sys

import anyio

from tests.platform import server as servers

_CHUNK = b"x" * 65_536
_ENDLESS_LENGTH = 10**11
# Less than what is buffered of an answer.
_WHOLE_LENGTH = 250_000


async def _send_forever(stream, data):
    """Send until the caller closes."""
    with contextlib.suppress(anyio.BrokenResourceError):
        while True:
            await stream.send(data)
    raise anyio.EndOfStream


def _endless(first, repeated):
    """Return a behavior that sends ``first``, then ``repeated`` forever."""

    async def behave(server, stream, request, headers):
        server.ran.append(request)
        await stream.send(first(request))
        await _send_forever(stream, repeated)

    return behave


def _chunked(request):
    return servers.head(request, extra=["Transfer-Encoding: chunked"])


async def _whole(server, stream, request, headers):
    server.ran.append(request)
    await stream.send(
        servers.head(request, 200, _WHOLE_LENGTH) + b"x" * _WHOLE_LENGTH
    )


BEHAVIORS = {
    "head-lines": _endless(
        lambda request: b"HTTP/1.1 200 OK\r\n", b"X-A: aaaaaaaaaaaaaaaa\r\n"
    ),
    "head-line": _endless(
        lambda request: b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 4_096
    ),
    "interim": _endless(
        lambda request: b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100
    ),
    "junk": _endless(lambda request: b"", b"\x00junk"),
    "length": _endless(
        lambda request: servers.head(request, 200, _ENDLESS_LENGTH), _CHUNK
    ),
    "chunks": _endless(_chunked, b"10000\r\n" + _CHUNK + b"\r\n"),
    "huge-chunk": _endless(
        lambda request: _chunked(request) + b"ffffffffff\r\n", _CHUNK
    ),
    "behind-answer": _endless(
        lambda request: servers.head(request, 200, 2) + b"ok", _CHUNK
    ),
    "behind-refusal": _endless(
        lambda request: servers.head(
            request, 503, extra=["X-Not-Executed: 1"]
        ),
        _CHUNK,
    ),
    "whole": _whole,
}


async def _serve(names):
    """Run targets until killed; print their entries as JSON."""
    made = {name: servers.Server(name, "orders", "a") for name in names}
    async with anyio.create_task_group() as tasks:
        for name, server in made.items():
            server.behave = BEHAVIORS[name]
            await tasks.start(server.run)
        entries = {name: one.entry() for name, one in made.items()}
        sys.stdout.write(json.dumps(entries) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    anyio.run(_serve, sys.argv[1:])
