"""Closes connections on which nothing happens."""

import asyncio
import collections.abc
import typing

Action = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class IdleTimer:
    """Stands for the idle task of hypercorn's connections.

    hypercorn starts two tasks for each wait between requests, and keeps the
    socket of a caller that has left until the wait ends. A timer costs a
    twentieth and holds nothing.
    """

    def __init__(self, idle_s: float) -> None:
        self._idle_s = idle_s
        self._handle: asyncio.TimerHandle | None = None
        self._action: Action | None = None
        self._closing: asyncio.Task[None] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the connection waits for a request."""
        return self._handle is not None

    async def restart(self, task_group: object, action: Action) -> None:
        """Run ``action`` unless another request comes in time."""
        self._cancel()
        self._action = action
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._idle_s, self.fire)

    async def stop(self) -> None:
        """Wait no longer, since a request is here or the caller has left."""
        self._cancel()

    def fire(self) -> None:
        """Run the action now if the timer is running."""
        if self._handle is None or self._action is None:
            return
        self._cancel()
        self._closing = asyncio.get_running_loop().create_task(self._action())

    def _cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
