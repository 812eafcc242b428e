"""A caller's connection, on which requests may be sent ahead."""

import dataclasses

import anyio
import h11

_CONNECT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as a caller sends it."""

    id: str
    method: str
    path: str
    is_order: bool
    data: bytes


@dataclasses.dataclass(frozen=True)
class Response:
    """What a caller got."""

    status: int
    headers: dict
    body: bytes


class Connection:
    """Sends requests and reads answers in their order."""

    def __init__(self, stream, host):
        self._stream = stream
        self.host = host
        self._unread = b""
        self.is_usable = True
        self.used_at_s = anyio.current_time()

    @classmethod
    async def open(cls, host):
        ip_address, _, port = host.partition(":")
        with anyio.fail_after(_CONNECT_S):
            return cls(await anyio.connect_tcp(ip_address, int(port)), host)

    async def send(self, requests):
        """Send requests in one write."""
        await self._stream.send(b"".join(one.data for one in requests))

    async def read(self, request):
        """Return the answer to the request that is due."""
        self.is_usable = False
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(
                method=request.method,
                target=request.path,
                headers=[("host", "x")],
            )
        )
        parser.send(h11.EndOfMessage())
        if self._unread:
            parser.receive_data(self._unread)
        head, body = None, []
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive(parser)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream
        self._unread = parser.trailing_data[0]
        self.is_usable = parser.their_state is h11.DONE
        self.used_at_s = anyio.current_time()
        headers = {k.decode(): v.decode() for k, v in head.headers}
        return Response(head.status_code, headers, b"".join(body))

    async def close(self):
        await self._stream.aclose()

    async def _receive(self, parser):
        try:
            parser.receive_data(await self._stream.receive())
        except anyio.EndOfStream:
            parser.receive_data(b"")
