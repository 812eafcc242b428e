"""A connection that carries one request after another."""

import collections.abc
import contextlib
import dataclasses
import enum
import math
import ssl
import typing

import anyio
import h11
import httpx

from pomeloward.wire import connectionuse
from pomeloward.wire import errortext
from pomeloward.wire import httpstream
from pomeloward.wire import requestidentity
from pomeloward.wire import responsehead
from pomeloward.wire import straybytes

# Longer heads and chunk headers are errors.
_MAX_HEAD_BYTES = 102_400
# Bounds what is kept of the ids of former requests.
_MAX_REQUESTS = 256
# Answers to other requests are read up to so many bytes in all.
_MAX_FOREIGN_BYTES = 65_536
_FOREIGN_BODY_TIMEOUT_S = 0.1
# As many bytes of interim answers to one request are accepted. Endless ones
# would keep the event loop busy until the deadline.
_MAX_INTERIM_BYTES = 65_536
_FOREIGN_ANSWER_TEXT = "an answer to another request does not end"

_Trace = collections.abc.Callable[
    [str, dict[str, typing.Any]], collections.abc.Awaitable[None]
]


class _State(enum.Enum):
    NEW = enum.auto()
    ACTIVE = enum.auto()
    IDLE = enum.auto()
    CLOSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How the connections of a pool are opened and watched.

    Without ``local_address`` the system chooses one, and without
    ``tls_context`` connections by TLS use the system's certificates. A
    connection isn't used again after it was idle for ``max_idle_s``.
    """

    local_address: str | None
    tls_context: ssl.SSLContext | None
    max_idle_s: float
    on_stray: straybytes.StrayObserver


class Connection:
    """Opens a connection with its first request, and keeps it after it.

    Errors are those of httpx. A request with an identity gets the answer that
    has it; others that come before are skipped.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        self._state = _State.NEW
        self._parser = _make_parser()
        self._stream: httpstream.HttpStream | None = None
        self._use = connectionuse.ConnectionUse(0, 0)
        self._has_foreign_answer = False
        self._carried_ids: set[bytes] = set()
        self._expires_at_s = math.inf
        self._read_timeout_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and carries no request."""
        return self._state is _State.IDLE

    @property
    def is_over_age(self) -> bool:
        """Whether the connection was idle for too long."""
        return anyio.current_time() > self._expires_at_s

    def can_carry(
        self, identity: requestidentity.RequestIdentity | None
    ) -> bool:
        """Return whether an idle connection may get a request.

        Nothing may have come on it, not even its end. A second answer to a
        former request with the same id would be taken for the answer to this
        one.
        """
        is_repeated = (
            identity is not None and identity.request_id in self._carried_ids
        )
        return (
            self.is_idle
            and not is_repeated
            and not self.is_over_age
            and self._stream is not None
            and not self._stream.has_unread()
        )

    async def send(
        self,
        request: httpx.Request,
        identity: requestidentity.RequestIdentity | None,
    ) -> responsehead.Head:
        """Send a request and return the head of its answer.

        The connection has to be closed after an error.
        """
        self._state = _State.ACTIVE
        if identity is not None:
            self._carried_ids.add(identity.request_id)
        timeouts_s = request.extensions.get("timeout", {})
        self._read_timeout_s = timeouts_s.get("read")
        if self._stream is None:
            self._stream = await httpstream.connect(
                request.url,
                self._settings.local_address,
                self._settings.tls_context,
                timeouts_s.get("connect"),
            )
        self._use = connectionuse.ConnectionUse(
            self._stream.local_port, self._use.request_number + 1
        )
        await self._send_request(request, timeouts_s.get("write"))
        return await self._receive_own_head(request, identity)

    async def receive_body(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over the body of the answer."""
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) or event is h11.PAUSED:
                return

    async def end_exchange(self) -> None:
        """Keep the connection if the answer was all that came on it.

        What lies behind the answer would be taken for a part of the next
        one.
        """
        unread, _ = self._parser.trailing_data
        if self._stream is not None:
            unread += await self._stream.receive_decrypted()
        is_complete = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        if unread and self._parser.their_state is not h11.SEND_BODY:
            self._report(straybytes.Place.BEHIND_ANSWER, unread)
        if (
            unread
            or not is_complete
            or self._has_foreign_answer
            or self._use.request_number >= _MAX_REQUESTS
        ):
            await self.aclose()
            return
        self._parser = _make_parser()
        self._state = _State.IDLE
        self._expires_at_s = anyio.current_time() + self._settings.max_idle_s

    async def aclose(self) -> None:
        """Close the connection."""
        if self._state is _State.IDLE:
            self._report_idle_bytes()
        self._state = _State.CLOSED
        if self._stream is not None:
            await self._stream.aclose()

    async def _send_request(
        self, request: httpx.Request, timeout_s: float | None
    ) -> None:
        trace: _Trace | None = request.extensions.get("trace")
        if trace is not None:
            await trace(connectionuse.SEND_STARTED, {"use": self._use})
        assert isinstance(request.stream, collections.abc.AsyncIterable)
        with _translated_protocol_errors(httpx.LocalProtocolError):
            head = h11.Request(
                method=request.method,
                target=request.url.raw_path,
                headers=request.headers.raw,
            )
            try:
                await self._send_event(head, timeout_s)
                async for chunk in request.stream:
                    await self._send_event(h11.Data(data=chunk), timeout_s)
                await self._send_event(h11.EndOfMessage(), timeout_s)
            except httpx.WriteError:
                # The other end may have answered before it closed.
                return

    async def _send_event(
        self, event: h11.Event, timeout_s: float | None
    ) -> None:
        data = self._parser.send(event)
        if not data:
            return
        assert self._stream is not None
        await self._stream.send(data, timeout_s)

    async def _receive_own_head(
        self,
        request: httpx.Request,
        identity: requestidentity.RequestIdentity | None,
    ) -> responsehead.Head:
        """Return the head of the answer to a request.

        On a connection that has carried others, a late second answer to one
        of them may come before it.
        """
        head = await self._receive_head()
        skipped_bytes = 0
        # Without an id in all answers, one that comes next may be no better.
        can_skip = (
            identity is not None
            and identity.is_in_all_answers
            and self._use.request_number > 1
        )
        while identity is not None and not identity.is_in(
            head.headers.raw_items()
        ):
            if not can_skip:
                raise httpx.RemoteProtocolError("the answer has another id")
            self._has_foreign_answer = True
            skipped_bytes += await self._skip_foreign_answer(
                request, head, _MAX_FOREIGN_BYTES - skipped_bytes
            )
            head = await self._receive_head()
        return head

    async def _skip_foreign_answer(
        self, request: httpx.Request, head: responsehead.Head, limit: int
    ) -> int:
        """Read an answer to another request, and return its size.

        What lies behind it is read by a parser of its own, which expects the
        answer to this request again.
        """
        head_bytes = responsehead.format_head(head)
        byte_count = len(head_bytes)
        self._report(straybytes.Place.BEFORE_ANSWER, head_bytes)
        if not responsehead.has_known_length(request.method, head):
            raise httpx.RemoteProtocolError(_FOREIGN_ANSWER_TEXT)
        # The rest of a part of an answer would never come.
        with anyio.move_on_after(_FOREIGN_BODY_TIMEOUT_S) as scope:
            async for chunk in self.receive_body():
                byte_count += len(chunk)
                if byte_count > limit:
                    break
        behind, _ = self._parser.trailing_data
        has_ended = self._parser.their_state in (h11.DONE, h11.MUST_CLOSE)
        if scope.cancelled_caught or byte_count > limit or not has_ended:
            raise httpx.RemoteProtocolError(_FOREIGN_ANSWER_TEXT)
        self._parser = _make_parser()
        self._parser.send(
            h11.Request(
                method=request.method,
                target=request.url.raw_path,
                headers=[(b"host", b"")],
            )
        )
        self._parser.send(h11.EndOfMessage())
        if behind:
            with _translated_protocol_errors(httpx.RemoteProtocolError):
                self._parser.receive_data(behind)
                self._check_start_of_head()
        return byte_count

    async def _receive_head(self) -> responsehead.Head:
        """Return the head of the final answer, or of a protocol switch."""
        interim_bytes = 0
        while True:
            event = await self._receive_event()
            if not isinstance(event, responsehead.Head):
                continue
            responsehead.check(event)
            if (
                isinstance(event, h11.Response)
                or event.status_code == httpx.codes.SWITCHING_PROTOCOLS
            ):
                return event
            interim_bytes += len(responsehead.format_head(event))
            if interim_bytes > _MAX_INTERIM_BYTES:
                raise httpx.RemoteProtocolError("interim answers do not end")

    async def _receive_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            with _translated_protocol_errors(httpx.RemoteProtocolError):
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return typing.cast("h11.Event", event)
                assert self._stream is not None
                data = await self._stream.receive(self._read_timeout_s)
                if not data and self._parser.their_state is h11.SEND_RESPONSE:
                    raise httpx.RemoteProtocolError(
                        "the connection was closed without an answer"
                    )
                self._parser.receive_data(data)
                self._check_start_of_head()

    def _check_start_of_head(self) -> None:
        """Raise an error if what comes is no answer; it may have no lines."""
        if self._parser.their_state is not h11.SEND_RESPONSE:
            return
        start, _ = self._parser.trailing_data
        if not responsehead.may_begin(start):
            raise h11.RemoteProtocolError(f"illegal status line: {start!r}")

    def _report_idle_bytes(self) -> None:
        if self._stream is None or not self._stream.has_unread():
            return
        data = self._stream.read_available(straybytes.MAX_INSPECTED_BYTES)
        if data:
            self._report(straybytes.Place.IDLE, data)

    def _report(self, place: straybytes.Place, data: bytes) -> None:
        self._settings.on_stray(
            straybytes.StrayBytes(
                self._use,
                place,
                len(data),
                data[: straybytes.MAX_INSPECTED_BYTES],
            )
        )


def _make_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
    )


@contextlib.contextmanager
def _translated_protocol_errors(
    error_type: type[httpx.ProtocolError],
) -> collections.abc.Iterator[None]:
    try:
        yield
    except (h11.LocalProtocolError, h11.RemoteProtocolError) as error:
        raise error_type(errortext.describe(error)) from error
