"""A target that answers at once, for measurements of added latency."""

import argparse
import asyncio
import re
import typing

_BODY = b'{"status": "ok", "items": [1, 2, 3]}'
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(_BODY) + _BODY
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class PlainTarget(asyncio.Protocol):
    """Answers each request of one connection."""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Answer every request that is complete."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            found = _LENGTH.search(self._buffer, 0, end)
            length = int(found.group(1)) if found else 0
            if len(self._buffer) < end + 4 + length:
                return
            self._buffer = self._buffer[end + 4 + length :]
            assert self._transport is not None
            self._transport.write(_ANSWER)


async def _serve(address: str, ports: list[int]) -> None:
    loop = asyncio.get_running_loop()
    for port in ports:
        await loop.create_server(PlainTarget, address, port)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("ports", type=int, nargs="+")
    options = parser.parse_args()
    asyncio.run(_serve(options.address, options.ports))


if __name__ == "__main__":
    main()
