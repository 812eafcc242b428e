"""Counts the requests that this host is serving."""

import collections.abc

import anyio

from pomeloward import model


class OpenRequests:
    """Counts open requests, and remembers when the last one ended.

    ``count`` is the number of requests that are open now,
    ``started_count`` that of all since the start of the host. ``on_started``
    is called for each request whose head was received.
    """

    def __init__(self) -> None:
        self.count = 0
        self.started_count = 0
        self.last_ended_at_ms = float("-inf")
        self.on_started: collections.abc.Callable[[], None] = _ignore
        self._last_ended = anyio.Event()

    def count_started(self) -> None:
        """Count a request whose head was received."""
        self.count += 1
        self.started_count += 1
        self.on_started()

    def count_ended(self) -> None:
        """Count a request as ended, with a response or without."""
        self.count -= 1
        self.last_ended_at_ms = model.now_ms()
        if not self.count:
            self._last_ended.set()

    async def wait_until_none(self) -> None:
        """Wait until no request is open."""
        while self.count:
            self._last_ended = anyio.Event()
            await self._last_ended.wait()

    def is_idle(self, min_idle_ms: float, now_ms: float) -> bool:
        """Return whether no request has been open for ``min_idle_ms``."""
        return not self.count and now_ms - self.last_ended_at_ms >= min_idle_ms


def _ignore() -> None:
    """Do nothing about a started request."""
