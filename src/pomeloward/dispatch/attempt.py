"""One attempt of a request at one target."""

import collections.abc
import typing

import anyio
import httpx

from pomeloward import wire
from pomeloward.dispatch import failure as failures
from pomeloward.dispatch import link as links
from pomeloward.dispatch import outgoing
from pomeloward.dispatch import request as requests
from pomeloward.dispatch import steps

DEADLINE_HEADER = b"pomeloward-deadline-ms"


class _BodyStream(httpx.AsyncByteStream):
    """Gives the transport a body from its start."""

    def __init__(self, body: requests.Body) -> None:
        self._body = body

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        async for chunk in self._body.chunks():
            yield chunk


class Attempt:
    """Sends a request under a slot and notes when its first byte leaves."""

    def __init__(
        self,
        request: requests.TargetRequest,
        hold: steps.SlotHold,
        link: links.Link,
        connect_ms: float,
        stream_idle_ms: float,
    ) -> None:
        self.hold = hold
        self.is_sent = False
        self._request = request
        self.link = link
        self._connect_s = connect_ms / 1_000
        self._idle_s = stream_idle_ms / 1_000

    async def run(self) -> httpx.Response:
        """Send the request and return the answer's head.

        Raises the errors of httpx, and ``PermissionLapsed`` when the slot
        or the run permit ended before the first byte.
        """
        request = self._request
        now_ms = anyio.current_time() * 1_000
        remaining_ms = max(0, int(request.deadline_ms - now_ms))
        headers = [
            *request.headers,
            (DEADLINE_HEADER, b"%d" % remaining_ms),
        ]
        timeout = {
            "connect": self._connect_s,
            "pool": self._connect_s,
            "read": self._idle_s,
            "write": self._idle_s,
        }
        sent = outgoing.outgoing(
            request.method,
            self.link.base,
            request.target_path,
            headers,
            _BodyStream(request.body),
            {
                "timeout": timeout,
                "trace": self._trace,
                wire.IDENTITY_EXTENSION: wire.RequestIdentity(
                    failures.REQUEST_ID_HEADER.encode("ascii"),
                    request.id.encode("ascii"),
                    is_in_all_answers=False,
                ),
            },
        )
        return await self.link.transport.handle_async_request(sent)

    async def _trace(self, event: str, info: dict[str, typing.Any]) -> None:
        """Check the permissions at the last moment before the first byte."""
        if event != wire.SEND_STARTED or self.is_sent:
            return
        now_ms = anyio.current_time() * 1_000
        if not self.hold.is_valid(now_ms):
            raise failures.PermissionLapsed("the slot ended before sending")
        if not self._request.may_send(now_ms):
            raise failures.PermissionLapsed(
                "the run permit ended", is_final=True
            )
        self.is_sent = True
        self._request.evidence.mark_sent()
