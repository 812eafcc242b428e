"""Sends the response to a caller's request over ASGI."""

import collections.abc
import typing

import anyio
import msgspec

from pomeloward import dispatch
from pomeloward import model
from pomeloward.relay import targetresponse

# A part of a body that is sent at a time. The connection to the caller takes
# the next one when little of the last one is left.
_PART_BYTES = 8 * 1024
# Time after the deadline in which a target whose body didn't end is found to
# be the cause, before the caller is.
_NOT_TAKEN_DELAY_S = 0.1

Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]


class ResponseNotTaken(model.PomelowardError):
    """A caller did not read a long response before its deadline."""


class ResponseWriter:
    """Sends one response to a caller.

    ``sent_status`` is 0 until the response starts. With
    ``closes_connection`` the caller's connection ends after the response.
    ``request_id_header`` goes along with refusals; a target's response has
    one of its own.
    """

    def __init__(
        self,
        send: Send,
        request_id_header: tuple[bytes, bytes],
        closes_connection: bool,
    ) -> None:
        self.sent_status = 0
        self.closes_connection = closes_connection
        self._send = send
        self._request_id_header = request_id_header

    async def write_response(
        self, response: targetresponse.TargetResponse
    ) -> None:
        """Send a target's response.

        Raises ``dispatch.AnswerCut`` when the target ends a long one early,
        and ``ResponseNotTaken``. The connection then has to be closed without
        an end of the body, so that the caller notices.
        """
        await self._send_start(response.status, response.headers)
        body_rest = response.body_rest
        if body_rest is None:
            await self._send_parts(response.body_start, is_last=True)
            response.release_start()
            return
        # Until then the target keeps a slot for the response.
        with anyio.CancelScope(
            deadline=body_rest.deadline_ms / 1_000 + _NOT_TAKEN_DELAY_S
        ) as scope:
            await self._send_parts(response.body_start, is_last=False)
            response.release_start()
            async for chunk in body_rest:
                await self._send_chunk(chunk)
            await self._send_chunk(b"", is_last=True)
        if scope.cancelled_caught:
            raise ResponseNotTaken

    async def write_refusal(self, refusal: model.Refusal) -> None:
        """Send a refusal by this host."""
        body = msgspec.json.encode(
            {"kind": refusal.kind.value, "detail": refusal.detail}
        )
        headers = [
            self._request_id_header,
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        if refusal.rule.is_retryable and refusal.retry_after_ms > 0:
            retry_after_s = refusal.retry_after_ms / 1_000
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        await self._send_start(refusal.rule.status, headers)
        await self._send_chunk(body, is_last=True)

    async def _send_start(
        self, status: int, headers: dispatch.Headers
    ) -> None:
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

    async def _send_parts(self, data: bytes, is_last: bool) -> None:
        """Send data in parts, so that it isn't copied as a whole."""
        position = 0
        while len(data) - position > _PART_BYTES:
            await self._send_chunk(data[position : position + _PART_BYTES])
            position += _PART_BYTES
        await self._send_chunk(data[position:], is_last)

    async def _send_chunk(self, data: bytes, is_last: bool = False) -> None:
        await self._send(
            {
                "type": "http.response.body",
                "body": data,
                "more_body": not is_last,
            }
        )
