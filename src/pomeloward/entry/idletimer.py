"""Closes connections on which nothing happens."""

import asyncio
import collections.abc
import typing

from pomeloward.entry import callertimes

Action = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
Times = collections.abc.Callable[[], callertimes.CallerTimes]


class IdleTimer:
    """Stands for the idle task of hypercorn's connections.

    hypercorn starts two tasks for each wait between requests, and keeps the
    socket of a caller that has left until the wait ends. A timer costs a
    twentieth and holds nothing. Limits that grow during a wait prolong it;
    one that shrinks holds from the next wait on, since the caller counts on
    the one that it knew.
    """

    def __init__(self, times: Times) -> None:
        self._times = times
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None
        self._action: Action | None = None
        self._closing: asyncio.Task[None] | None = None
        self._is_in_head = False
        self._began_s = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the connection waits for a request."""
        return self._handle is not None

    async def restart(self, task_group: object, action: Action) -> None:
        """Run ``action`` unless another request comes in time."""
        self._arm(action, is_in_head=False)

    def begin_head(self, action: Action) -> None:
        """Run ``action`` unless the head of a request is whole in time."""
        if self.is_running and not self._is_in_head:
            self._arm(action, is_in_head=True)

    async def stop(self) -> None:
        """Wait no longer, since a request is here or the caller has left."""
        self._cancel()

    def fire(self) -> None:
        """Run the action now if the timer is running."""
        if self._handle is None or self._action is None:
            return
        self._cancel()
        self._closing = self._loop.create_task(self._action())

    def _arm(self, action: Action, is_in_head: bool) -> None:
        self._cancel()
        self._action = action
        self._is_in_head = is_in_head
        self._began_s = self._loop.time()
        self._handle = self._loop.call_later(self._limit_s(), self._lapse)

    def _lapse(self) -> None:
        left_s = self._began_s + self._limit_s() - self._loop.time()
        if left_s > 0:
            self._handle = self._loop.call_later(left_s, self._lapse)
            return
        self.fire()

    def _limit_s(self) -> float:
        times = self._times()
        return times.head_s if self._is_in_head else times.idle_s

    def _cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
