"""HTTP/1.1 connections on which requests arrive before earlier answers."""

import collections
import typing

import anyio
import h11
from hypercorn import events

from pomeloward.entry import pipelinedrequest
from pomeloward.entry import turn as turns

# Bytes that are received behind the requests that are served. With more the
# connection isn't read until a response was sent.
_MAX_HELD_BYTES = 65_536
_READ_AHEAD_METHODS = frozenset({b"GET", b"HEAD"})
# Requests with these headers are read only when their turn has come: a body
# would block the requests behind it, and an upgrade ends the protocol.
_IN_TURN_HEADERS = frozenset(
    {b"content-length", b"transfer-encoding", b"expect", b"upgrade"}
)

# Position of the connection's state among the arguments of hypercorn's
# protocols. Each request gets a copy that tells its turn.
_STATE_ARGUMENT = 4

Headers = list[tuple[bytes, bytes]]
_CLOSE = (b"connection", b"close")


class PipeliningProtocol:
    """Serves the requests of a connection side by side.

    Responses are sent in the order of the requests (RFC 9112, section
    9.3.2). Up to ``max_requests`` are served at a time. A response that
    closes the connection comes last: requests that are already served are
    answered before, others stay unread.
    """

    def __init__(
        self, arguments: tuple[typing.Any, ...], max_requests: int
    ) -> None:
        """Serve with the arguments of hypercorn's ``H11Protocol``."""
        (
            _,
            self._config,
            _,
            self._task_group,
            self._connection_state,
            *_,
            self._send,
        ) = arguments
        self._arguments = arguments
        self._max_requests = max_requests
        self._requests: collections.deque[
            pipelinedrequest.PipelinedRequest
        ] = collections.deque()
        self._held = b""
        self._held_shrunk = anyio.Event()
        self._is_reading = False
        self._is_closing = False
        self._add_request()

    async def initiate(self) -> None:
        """Do nothing, since HTTP/1.1 has no preface."""

    async def handle(self, event: events.Event) -> None:
        """Read received bytes, or end the requests of a lost connection."""
        if isinstance(event, events.Closed):
            for request in list(self._requests):
                await request.handle(event)
            return
        if not event.data:
            if not self._requests[-1].is_read:
                await self._requests[-1].handle(event)
            return
        self._held += event.data
        await self._read_held()
        while len(self._held) > _MAX_HELD_BYTES:
            self._held_shrunk = anyio.Event()
            await self._held_shrunk.wait()

    async def refuse_late_head(self) -> None:
        """Refuse a request whose head took too long."""
        await self._requests[-1].refuse_late_head()

    def _add_request(self) -> None:
        turn = turns.Turn(has_come=not self._requests)
        arguments = list(self._arguments)
        arguments[_STATE_ARGUMENT] = {
            **self._connection_state,
            turns.SCOPE_STATE_KEY: turn,
        }
        self._requests.append(
            pipelinedrequest.PipelinedRequest(
                arguments, turn, self._adjust_head, self._end_request
            )
        )

    async def _read_held(self) -> None:
        """Read the received bytes as far as requests may be served."""
        if self._is_reading:
            return
        self._is_reading = True
        try:
            while self._held:
                if self._requests[-1].is_read:
                    if not self._may_read_ahead():
                        break
                    self._add_request()
                newest, data = self._requests[-1], self._held
                self._held = b""
                await newest.handle(events.RawData(data))
                if not newest.is_read:
                    continue
                self._held = newest.unread_bytes + self._held
        finally:
            self._is_reading = False
            self._held_shrunk.set()

    def _may_read_ahead(self) -> bool:
        """Return whether the next request may be served beside the others."""
        if (
            self._is_closing
            or len(self._requests) >= self._max_requests
            or not self._requests[-1].may_have_successor
        ):
            return False
        peeked = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._config.h11_max_incomplete_size,
        )
        peeked.receive_data(self._held)
        try:
            event = peeked.next_event()
        except h11.RemoteProtocolError:
            return False
        return (
            isinstance(event, h11.Request)
            and event.method in _READ_AHEAD_METHODS
            and not any(name in _IN_TURN_HEADERS for name, _ in event.headers)
        )

    def _adjust_head(
        self, request: pipelinedrequest.PipelinedRequest, headers: Headers
    ) -> Headers:
        """Move the announcement of the close to the last response."""
        others = [
            (name, value)
            for name, value in headers
            if (name.lower(), value.lower()) != _CLOSE
        ]
        self._is_closing |= len(others) < len(headers)
        is_last = request is self._requests[-1]
        return [*others, _CLOSE] if self._is_closing and is_last else others

    async def _end_request(
        self, request: pipelinedrequest.PipelinedRequest, is_reusable: bool
    ) -> None:
        """Go on with the next request after a response."""
        if not is_reusable or request is not self._requests[0]:
            await self._send(events.Closed())
            return
        self._requests.popleft()
        if self._requests:
            self._requests[0].turn.come()
        else:
            self._add_request()
            await self._send(events.Updated(idle=True))
        if self._held:
            self._task_group.spawn(self._read_held)
