"""Pauses of single hosts inside one process.

A paused process runs no instruction while its clock goes on. Each task of a
host is wrapped so that trio's next step of it waits for the end of the pause;
what came due meanwhile arrives late, as after a real pause.
"""

import collections.abc
import contextvars
import typing

import trio
import trio.abc
import trio.lowlevel

from pomeloward import model

HOST: contextvars.ContextVar["Gate | None"] = contextvars.ContextVar(
    "HOST", default=None
)
_NOTHING = object()


class Gate:
    """Whether the tasks of one start of a host may run."""

    def __init__(self, host: model.HostId) -> None:
        self.host = host
        self.is_paused = False
        self.held: list[trio.lowlevel.Task] = []
        self._opened = trio.Event()

    def pause(self) -> None:
        """Let no task of the host run."""
        self.is_paused = True
        self._opened = trio.Event()

    def resume(self) -> None:
        """Let the tasks go on with what came meanwhile."""
        self.is_paused = False
        self._opened.set()
        held, self.held = self.held, []
        for task in held:
            trio.lowlevel.reschedule(task)

    async def wait_open(self) -> None:
        """Wait for the end of the pause."""
        while self.is_paused:
            await self._opened.wait()


class _HeldCoroutine:
    """A coroutine of a host whose steps wait while the host is paused."""

    def __init__(
        self,
        task: trio.lowlevel.Task,
        coro: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
        gate: Gate,
    ) -> None:
        self._task = task
        self._coro = coro
        self._gate = gate
        self._held: typing.Any = _NOTHING

    def send(self, value: typing.Any) -> typing.Any:
        """Run the next step, or keep its value until the pause ends."""
        if self._held is not _NOTHING:
            value = self._held
            self._held = _NOTHING
        if self._gate.is_paused:
            self._held = value
            self._gate.held.append(self._task)
            trap = trio.lowlevel.wait_task_rescheduled(  # noqa: ASYNC105
                _never_abort
            )
            return trap.__await__().send(None)
        return self._coro.send(value)

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._coro, name)


class PauseInstrument(trio.abc.Instrument):
    """Wraps every task that is spawned on behalf of a host."""

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        """Wrap the coroutine of a host's task before its first step."""
        gate = task.context.get(HOST)
        if gate is not None:
            wrapped: typing.Any = _HeldCoroutine(task, task.coro, gate)
            task.coro = wrapped


def _never_abort(raise_cancel: typing.Any) -> trio.lowlevel.Abort:
    return trio.lowlevel.Abort.FAILED
