"""A byte stream to a target whose errors are those of httpx."""

import ssl

import anyio
import anyio.abc
from anyio.streams import tls
import httpx

from pomeloward.wire import socketstream

# An answer that is passed on to a slow caller holds one read, and a read of
# one-byte chunks keeps the event loop busy.
_READ_BYTES = 8_192
_DEFAULT_PORTS = {b"http": 80, b"https": 443}
_BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    ssl.SSLError,
)
_CONNECT_ERRORS = (OSError, anyio.BrokenResourceError, anyio.EndOfStream)


class HttpStream:
    """A connection with or without TLS."""

    def __init__(
        self, sock: socketstream.SocketStream, stream: anyio.abc.ByteStream
    ) -> None:
        self._socket = sock
        self._stream = stream

    @property
    def local_port(self) -> int:
        """The port of this end."""
        return self._socket.local_port

    def has_unread(self) -> bool:
        """Return whether bytes or the end have come and were not read."""
        return self._socket.has_unread()

    def read_available(self, max_bytes: int) -> bytes:
        """Return bytes that have come, still encrypted with TLS."""
        return self._socket.read_available(max_bytes)

    async def receive(self, timeout_s: float | None) -> bytes:
        """Return at least one byte, or none at the end."""
        try:
            with anyio.fail_after(timeout_s):
                return await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except TimeoutError as error:
            raise httpx.ReadTimeout("nothing came in time") from error
        except _BROKEN as error:
            raise httpx.ReadError("the connection broke") from error

    async def receive_decrypted(self) -> bytes:
        """Return what TLS holds, empty without TLS."""
        if self._stream is self._socket:
            return b""
        with anyio.move_on_after(0):
            return await self.receive(None)
        return b""

    async def send(self, data: bytes, timeout_s: float | None) -> None:
        """Send all bytes."""
        try:
            with anyio.fail_after(timeout_s):
                await self._stream.send(data)
        except TimeoutError as error:
            raise httpx.WriteTimeout("the request wasn't taken") from error
        except _BROKEN as error:
            raise httpx.WriteError("the connection broke") from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


async def connect(
    url: httpx.URL,
    local_address: str | None,
    tls_context: ssl.SSLContext | None,
    timeout_s: float | None,
) -> HttpStream:
    """Connect to the server of a URL."""
    host = url.raw_host.decode("ascii")
    port = url.port or _DEFAULT_PORTS[url.raw_scheme]
    try:
        with anyio.fail_after(timeout_s):
            sock = await socketstream.connect(host, port, local_address)
            if url.raw_scheme != b"https":
                return HttpStream(sock, sock)
            return await _wrap(sock, host, tls_context)
    except TimeoutError as error:
        raise httpx.ConnectTimeout("no connection in time") from error
    except _CONNECT_ERRORS as error:
        raise httpx.ConnectError(str(error)) from error


async def _wrap(
    sock: socketstream.SocketStream,
    host: str,
    tls_context: ssl.SSLContext | None,
) -> HttpStream:
    """Begin TLS on a socket, or close it."""
    try:
        stream = await tls.TLSStream.wrap(
            sock,
            hostname=host,
            ssl_context=tls_context,
            standard_compatible=False,
        )
    except BaseException:
        with anyio.CancelScope(shield=True):
            await sock.aclose()
        raise
    return HttpStream(sock, stream)
