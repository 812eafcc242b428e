"""One request between a host and a fake target."""

import collections.abc
import dataclasses
import math
import typing

import anyio
import anyio.abc
import httpx

from pomeloward import model

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, eq=False)
class Sent:
    """A request as a target got it, and the way back for its answer."""

    host: model.HostId
    method: str
    path: bytes
    headers: Headers
    status: int = 0
    answer_headers: Headers = dataclasses.field(default_factory=list)
    has_head: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    gone: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_reset: bool = False
    on_chunk: collections.abc.Callable[[], None] | None = None
    _sender: typing.Any = None
    receiver: typing.Any = None

    def __post_init__(self) -> None:
        self._sender, self.receiver = anyio.create_memory_object_stream[
            bytes | None
        ](math.inf)

    @property
    def request_id(self) -> str:
        """The id that the host gave the request."""
        return self._header(b"pomeloward-request-id")

    @property
    def order(self) -> str:
        """The idempotency key of an order."""
        return self._header(b"idempotency-key")

    @property
    def marker(self) -> str:
        """The last part of the path, which names the caller's request."""
        path = self.path.partition(b"?")[0]
        return path.rpartition(b"/")[2].decode("ascii")

    def answer(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.status = status
        self.answer_headers = headers
        self.has_head.set()

    def chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        self._sender.send_nowait(data)

    def end(self, data: bytes) -> None:
        """Send the last part of the body."""
        self._sender.send_nowait(data)
        self._sender.close()

    def break_off(self) -> None:
        """Close the connection inside the answer."""
        self._sender.send_nowait(None)
        self._sender.close()

    def reset(self) -> None:
        """End the connection before any answer."""
        self.is_reset = True
        self.has_head.set()

    def _header(self, name: bytes) -> str:
        for known, value in self.headers:
            if known == name:
                return value.decode("ascii")
        return ""


class BodyStream(httpx.AsyncByteStream):
    """The body of a target's answer, as the host reads it."""

    def __init__(self, sent: Sent) -> None:
        self._sent = sent

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        async for chunk in self._sent.receiver:
            if chunk is None:
                raise httpx.RemoteProtocolError("the answer was broken off")
            if self._sent.on_chunk is not None:
                self._sent.on_chunk()
            if chunk:
                yield chunk

    async def aclose(self) -> None:
        """Close the connection; an unfinished run ends at the target."""
        self._sent.gone.set()
        self._sent.receiver.close()
