"""The body of a caller's request."""

import collections.abc
import typing

import anyio

from pomeloward import model

Receive = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]


class CallerGone(model.PomelowardError):
    """The caller's connection ended before the request was complete."""


class BodyTooLarge(model.PomelowardError):
    """A body grew over its limit."""


class BodyNotReadable(model.PomelowardError):
    """An attempt can't get a body, or its rest, without a gap."""


class RequestBody:
    """Reads a body once and keeps its start for another attempt.

    Up to ``replay_bytes`` are kept; beyond that the body is streamed to one
    target only, one chunk at a time. ``limit_bytes`` bounds the whole. While
    the body is on its way, it belongs to the newest iteration over it: a
    chunk that another one took would be missing.
    """

    def __init__(
        self, receive: Receive, limit_bytes: int, replay_bytes: int
    ) -> None:
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._replay_bytes = replay_bytes
        self._size = 0
        self._kept: list[bytes] = []
        self._is_kept_whole = True
        self._is_stopped = False
        self._newest_reader = 0
        self.ended = anyio.Event()
        # When the last byte came, None while the body is on its way.
        self.ended_at_ms: float | None = None

    @property
    def can_replay(self) -> bool:
        """Whether another attempt can get the body after this one."""
        return self._is_kept_whole

    @property
    def can_share(self) -> bool:
        """Whether another attempt can get the body beside this one."""
        return self._is_kept_whole and self.is_ended and not self._is_stopped

    @property
    def is_ended(self) -> bool:
        """Whether the last byte has come from the caller."""
        return self.ended.is_set()

    @property
    def is_empty(self) -> bool:
        """Whether the body has ended without a byte."""
        return self.is_ended and not self._size

    def kept_start(self, limit_bytes: int) -> bytes:
        """Return up to ``limit_bytes`` of what was read and is still kept."""
        return b"".join(self._kept)[:limit_bytes]

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over the body from its start.

        Raises ``CallerGone``, ``BodyTooLarge``, and ``BodyNotReadable`` if
        the iteration would leave out a part. It ends only after the last
        byte, so that no receiver takes a part for the whole.
        """
        if not self._is_kept_whole:
            raise BodyNotReadable("the start of the body is not kept")
        self._newest_reader += 1
        reader = self._newest_reader
        position = 0
        while True:
            if self._is_kept_whole and position < len(self._kept):
                yield self._kept[position]
                position += 1
                continue
            if self.can_share:
                return
            if reader != self._newest_reader:
                raise BodyNotReadable("another attempt reads the body")
            if self._is_stopped:
                raise BodyNotReadable("the body was not read to its end")
            if self.is_ended:
                return
            chunk = await self._next()
            if chunk and not self._is_kept_whole:
                yield chunk

    async def read_whole(self, limit_bytes: int) -> bytes:
        """Read the body into memory; raises ``BodyTooLarge``."""
        self._limit_bytes = min(self._limit_bytes, limit_bytes)
        self._replay_bytes = max(self._replay_bytes, limit_bytes)
        while not self.is_ended:
            await self._next()
        return b"".join(self._kept)

    async def preload(self) -> None:
        """Read a body that is short, so that no target waits for it."""
        while not self.is_ended and self._size < self._replay_bytes // 2:
            await self._next()

    async def read_if_at_hand(self) -> None:
        """Read the end of a request that has no body."""
        while not self.is_ended and not self._size:
            await self._next()

    def stop(self) -> None:
        """Read no more, since the answer did not wait for the rest."""
        self._is_stopped = not self.is_ended
        self.ended.set()

    async def _next(self) -> bytes:
        message = await self._receive()
        if message["type"] != "http.request":
            raise CallerGone("the caller left during its request")
        chunk: bytes = message.get("body", b"")
        self._size += len(chunk)
        if self._size > self._limit_bytes:
            raise BodyTooLarge(f"the body is over {self._limit_bytes} bytes")
        if self._size <= self._replay_bytes:
            if chunk:
                self._kept.append(chunk)
        else:
            self._is_kept_whole = False
            self._kept.clear()
        if not message.get("more_body", False):
            self.ended_at_ms = model.now_ms()
            self.ended.set()
        return chunk
