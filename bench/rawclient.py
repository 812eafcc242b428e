"""A load client with as little latency of its own as possible."""

import asyncio
import re
import typing

_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class Connection(asyncio.Protocol):
    """One keep-alive connection with one request at a time."""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[int] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Complete the answer when all of it is here."""
        self._buffer += data
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0 or self._answer is None:
            return
        found = _LENGTH.search(self._buffer, 0, end + 2)
        length = int(found.group(1)) if found else 0
        if len(self._buffer) >= end + 4 + length:
            status = int(self._buffer[9:12])
            self._buffer = b""
            self._answer.set_result(status)

    def connection_lost(self, error: Exception | None) -> None:
        """End an answer that is still awaited."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(0)

    async def call(self, request: bytes) -> int:
        """Send a request and return the status; 0 for a lost connection."""
        self._answer = asyncio.get_running_loop().create_future()
        assert self._transport is not None
        self._transport.write(request)
        return await self._answer


class Pool:
    """Connections to one address, made when none is idle."""

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._idle: list[Connection] = []

    async def call(self, request: bytes) -> int:
        """Send a request over an idle connection."""
        if self._idle:
            connection = self._idle.pop()
        else:
            _, connection = await asyncio.get_running_loop().create_connection(
                Connection, self._address, self._port
            )
        status = await connection.call(request)
        if status:
            self._idle.append(connection)
        return status
