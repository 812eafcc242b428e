"""The host's side of one answer to a caller."""

import collections.abc
import typing

import msgspec

from pomeloward import dispatch
from pomeloward import model
from pomeloward.relay import targetresponse

Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]


class ResponseWriter:
    """Sends one answer over ASGI; ``is_last`` closes the connection."""

    def __init__(
        self,
        send: Send,
        id_header: tuple[bytes, bytes],
        closes_connection: bool,
    ) -> None:
        self.sent_status = 0
        self.closes_connection = closes_connection
        self._send = send
        self._id_header = id_header

    async def write_response(
        self, answer: targetresponse.TargetResponse
    ) -> None:
        """Pass a target's answer on.

        Raises ``dispatch.AnswerCut`` when a long one ends early, after which
        the caller has to see that its answer is not whole.
        """
        await self._start(answer.status, answer.headers)
        if answer.body_rest is not None:
            await self._chunk(answer.body_start)
            async for chunk in answer.body_rest:
                await self._chunk(chunk)
            await self._chunk(b"", is_last=True)
            return
        await self._chunk(answer.body_start, is_last=True)

    async def write_refusal(self, refusal: model.Refusal) -> None:
        """Send a refusal of this host."""
        body = msgspec.json.encode(
            {"kind": refusal.kind.value, "detail": refusal.detail}
        )
        headers = [
            self._id_header,
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        if refusal.rule.is_retryable and refusal.retry_after_ms > 0:
            wait_s = refusal.retry_after_ms / 1_000
            headers.append((b"retry-after", b"%.3f" % wait_s))
        await self._start(refusal.rule.status, headers)
        await self._chunk(body, is_last=True)

    async def _start(self, status: int, headers: dispatch.Headers) -> None:
        self.sent_status = status
        if self.closes_connection:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def _chunk(self, data: bytes, is_last: bool = False) -> None:
        await self._send(
            {
                "type": "http.response.body",
                "body": data,
                "more_body": not is_last,
            }
        )
