"""The caller's side of one request: what was sent back so far."""

import collections.abc
import math
import typing

import anyio
import msgspec

from pomeloward import model
from pomeloward.entry import separation
from pomeloward.entry import serverconnection

Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]
Receive = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]

# How long the rest of a refused request is read away.
_LINGER_S = 0.5


class Exchange:
    """Sends one answer to a caller over ASGI.

    ``is_last`` asks the caller to close the connection, for a draining
    host.
    """

    def __init__(
        self,
        request: model.RequestId,
        scope: collections.abc.Mapping[str, typing.Any],
        receive: Receive,
        send: Send,
        is_last: bool,
    ) -> None:
        self.request = request
        self.scope = scope
        self.status = 0
        self.is_complete = False
        self._is_request_ended = False
        self._request_ended = anyio.Event()
        self._receive = receive
        self._send = send
        self._is_http1 = scope["http_version"] == "1.1"
        self.is_last = is_last

    @property
    def is_started(self) -> bool:
        """Whether the head of an answer was sent."""
        return self.status != 0

    async def receive(self) -> dict[str, typing.Any]:
        """Return the next event of the caller's request."""
        message = await self._receive()
        if not message.get("more_body", False):
            self._is_request_ended = True
            self._request_ended.set()
        return message

    async def start(self, status: int, headers: separation.Headers) -> None:
        """Send the head of an answer."""
        self.status = status
        sent = [
            *headers,
            (b"pomeloward-request-id", self.request.encode("ascii")),
        ]
        if self.is_last and self._is_http1:
            sent.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent,
            }
        )

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller is slow."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        self.is_complete = True
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": False}
        )

    async def refuse(
        self,
        refusal: model.Refusal,
        headers: separation.Headers | None = None,
        may_have_run: bool = False,
    ) -> None:
        """Send a refusal as JSON with its run state.

        ``may_have_run`` makes the run state ``unknown`` whatever the kind.
        """
        run = model.RunState.UNKNOWN if may_have_run else refusal.run_state
        body = refusal_body(refusal, self.request, run)
        await self._whole(
            refusal.rule.status,
            [
                (b"content-type", b"application/json"),
                *refusal_headers(refusal, run),
                *(headers or []),
            ],
            body,
        )

    async def reply(
        self, status: int, content_type: bytes, body: bytes
    ) -> None:
        """Send a whole answer of the host itself."""
        await self._whole(status, [(b"content-type", content_type)], body)

    async def abort(self) -> None:
        """End an answer so that the caller sees that it is not whole."""
        if not self.is_complete:
            await serverconnection.reset_stream(self._send)

    async def _whole(
        self, status: int, headers: separation.Headers, body: bytes
    ) -> None:
        length = (b"content-length", b"%d" % len(body))
        await self.start(status, [*headers, length])
        if self._is_request_ended:
            await self.finish(body)
            return
        # The caller may still be sending: closing at once could reset the
        # connection before it has read the answer, and the server needs
        # its queue of events emptied to end the request.
        await self.chunk(body)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_away)
            with anyio.move_on_after(_LINGER_S):
                await self._request_ended.wait()
            await self.finish()
            tasks.cancel_scope.cancel()

    async def _read_away(self) -> None:
        while True:
            message = await self.receive()
            if message["type"] != "http.request":
                return


def refusal_body(
    refusal: model.Refusal, request: model.RequestId, run: model.RunState
) -> bytes:
    """Return the JSON of a refusal."""
    return msgspec.json.encode(
        {
            "kind": refusal.kind.value,
            "run": run.value,
            "request_id": request,
            "detail": refusal.detail,
        }
    )


def refusal_headers(
    refusal: model.Refusal, run: model.RunState
) -> separation.Headers:
    """Return the headers that go with every refusal."""
    headers = [(b"pomeloward-run", run.value.encode("ascii"))]
    if refusal.rule.is_retryable:
        # The header has whole seconds; less than one becomes one.
        wait_s = max(1, math.ceil(refusal.retry_after_ms / 1_000))
        headers.append((b"retry-after", b"%d" % wait_s))
    return headers
