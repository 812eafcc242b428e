"""A TCP socket as a byte stream without a buffer of its own."""

import errno
import ipaddress
import select
import socket

import anyio
import anyio.abc
import anyio.lowlevel


class SocketStream(anyio.abc.ByteStream):
    """Reads only what is asked for; the rest stays in the socket.

    So ``has_unread`` sees all bytes that have come, and a target that sends
    without end fills no memory.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._has_failed_send = False

    @property
    def local_port(self) -> int:
        """The port of this end."""
        return int(self._socket.getsockname()[1])

    def has_unread(self) -> bool:
        """Return whether bytes or the end have come and were not read."""
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))

    def read_available(self, max_bytes: int) -> bytes:
        """Return bytes that have come, empty if there are none."""
        try:
            return self._socket.recv(max_bytes)
        except OSError:
            return b""

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return at least one byte.

        Raises ``anyio.EndOfStream``, and ``anyio.BrokenResourceError`` if the
        other end reset the connection.
        """
        await anyio.lowlevel.checkpoint_if_cancelled()
        while True:
            try:
                data = self._socket.recv(max_bytes)
                break
            except BlockingIOError:
                await anyio.wait_readable(self._socket)
            except OSError as error:
                raise anyio.BrokenResourceError from error
        # A stream that always has bytes must not keep other tasks waiting.
        await anyio.lowlevel.checkpoint()
        if data:
            return data
        # A failed send takes the error of a reset, and what follows looks
        # like an orderly end.
        if self._has_failed_send:
            raise anyio.BrokenResourceError
        raise anyio.EndOfStream

    async def send(self, item: bytes) -> None:
        """Send all bytes; raises ``anyio.BrokenResourceError``."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        unsent = memoryview(item)
        while unsent:
            try:
                unsent = unsent[self._socket.send(unsent) :]
            except BlockingIOError:
                await anyio.wait_writable(self._socket)
            except OSError as error:
                self._has_failed_send = True
                raise anyio.BrokenResourceError from error

    async def send_eof(self) -> None:
        """End this direction of the connection."""
        self._socket.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the socket; readers and writers that wait get an error."""
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
            self._socket.close()
        await anyio.lowlevel.checkpoint()


async def connect(
    host: str, port: int, local_address: str | None
) -> SocketStream:
    """Connect from a local address; raises ``OSError``."""
    error: OSError | None = None
    for family, address in await _resolve(host, port):
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            await _connect_socket(sock, address, local_address)
        except OSError as failure:
            sock.close()
            error = failure
        except BaseException:
            sock.close()
            raise
        else:
            return SocketStream(sock)
    raise error or OSError(f"no address for {host!r}")


async def _resolve(
    host: str, port: int
) -> list[tuple[socket.AddressFamily, tuple[str, int]]]:
    """Return the addresses of a host; look-ups run in a thread."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        found = await anyio.getaddrinfo(host, port, type=socket.SOCK_STREAM)
        return [(family, (to[0], to[1])) for family, _, _, _, to in found]
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    return [(family, (host, port))]


async def _connect_socket(
    sock: socket.socket, address: tuple[str, int], local_address: str | None
) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if local_address is not None:
        sock.bind((local_address, 0))
    try:
        code = sock.connect_ex(address)
    except OverflowError as error:
        raise OSError(f"{address[1]} is no port") from error
    if code == errno.EINPROGRESS:
        try:
            await anyio.wait_writable(sock)
        except BaseException:
            anyio.notify_closing(sock)
            raise
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, "unknown error"))
