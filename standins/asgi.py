"""Small helpers for the stand-ins' ASGI applications."""

import collections.abc
import json
import typing

Scope = dict[str, typing.Any]
Event = dict[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Event]]
Send = collections.abc.Callable[[Event], collections.abc.Awaitable[None]]
App = collections.abc.Callable[
    [Scope, Receive, Send], collections.abc.Awaitable[None]
]


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    parts: list[bytes] = []
    while True:
        event = await receive()
        if event["type"] != "http.request":
            return b"".join(parts)
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def answer(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: collections.abc.Iterable[tuple[str, str]] = (),
) -> None:
    """Send a whole answer."""
    encoded = [(k.lower().encode(), v.encode()) for k, v in headers]
    encoded.append((b"content-length", str(len(body)).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": encoded}
    )
    await send({"type": "http.response.body", "body": body})


async def answer_json(
    send: Send,
    value: object,
    status: int = 200,
    headers: collections.abc.Iterable[tuple[str, str]] = (),
) -> None:
    """Send a value as JSON."""
    body = json.dumps(value).encode()
    content_type = ("content-type", "application/json")
    await answer(send, status, body, [content_type, *headers])


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge start and stop of the server."""
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        if event["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


def header(scope: Scope, name: str) -> str | None:
    """Return the first value of a request header."""
    wanted = name.lower().encode()
    for key, value in scope["headers"]:
        if key == wanted:
            return typing.cast(bytes, value).decode("latin-1")
    return None


def query(scope: Scope) -> dict[str, str]:
    """Return the query parameters, the last of each name."""
    text = scope["query_string"].decode("latin-1")
    pairs = [part.partition("=") for part in text.split("&") if part]
    return {name: value for name, _, value in pairs}
