"""One request of an HTTP/1.1 connection, and its response."""

import collections.abc
import contextlib
import dataclasses
import typing

import h11
from hypercorn import events
from hypercorn.protocol import events as streamevents

from pomeloward.entry import refusingprotocol
from pomeloward.entry import turn as turns


class _ReadPause(Exception):
    """The bytes after the request belong to the next one."""


class _PausedReads:
    """Stands for the event on which hypercorn waits after a request.

    During that wait the connection isn't read, so that hypercorn wouldn't
    notice that the caller has left.
    """

    async def clear(self) -> None:
        raise _ReadPause

    async def set(self) -> None:
        """Do nothing, since nobody waits."""


class PipelinedRequest(refusingprotocol.RefusingProtocol):
    """Reads one request, and sends its response when its turn has come.

    ``arguments`` are those of hypercorn's ``H11Protocol``. ``on_head`` takes
    this request and the headers of its response and returns the headers to
    send. ``on_end`` is called after the response, with whether the connection
    can be used for the next one.
    """

    def __init__(
        self,
        arguments: collections.abc.Sequence[typing.Any],
        turn: turns.Turn,
        on_head: collections.abc.Callable[
            ["PipelinedRequest", list[tuple[bytes, bytes]]],
            list[tuple[bytes, bytes]],
        ],
        on_end: collections.abc.Callable[
            ["PipelinedRequest", bool], collections.abc.Awaitable[None]
        ],
    ) -> None:
        super().__init__(*arguments[:-1], self._send_in_turn)
        self._send_now = arguments[-1]
        self.turn = turn
        self.can_read = _PausedReads()
        self._on_head = on_head
        self._on_end = on_end

    @property
    def is_read(self) -> bool:
        """Whether the whole request was read, or can't be read further."""
        return self.connection.their_state in {
            h11.DONE,
            h11.MUST_CLOSE,
            h11.CLOSED,
            h11.ERROR,
        }

    @property
    def may_have_successor(self) -> bool:
        """Whether another request may follow on the connection."""
        return self.connection.their_state is h11.DONE

    @property
    def unread_bytes(self) -> bytes:
        """The bytes that were received behind the request."""
        return bytes(self.connection.trailing_data[0])

    async def handle(self, event: events.Event) -> None:
        """Read a part of the request, or note that the caller has left."""
        with contextlib.suppress(_ReadPause):
            await super().handle(event)

    async def stream_send(self, event: streamevents.Event) -> None:
        """Send a part of the response."""
        if isinstance(event, streamevents.Response):
            await self.turn.wait()
            event = dataclasses.replace(
                event, headers=self._on_head(self, list(event.headers))
            )
        await super().stream_send(event)

    async def _send_in_turn(self, event: events.Event) -> None:
        if not isinstance(event, events.Updated):
            await self.turn.wait()
        await self._send_now(event)

    async def _maybe_recycle(self) -> None:
        await self._close_stream()
        await self._on_end(
            self,
            not self.context.terminated.is_set()
            and self.connection.our_state is h11.DONE
            and self.connection.their_state is h11.DONE,
        )
