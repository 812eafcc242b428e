"""Keeps the background tasks of a host running."""

import collections.abc
import typing

import anyio
import eliot

BackgroundTask = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]

# A task that fails at once each time must not take the processor.
_RESTART_DELAY_S = 0.25


async def run_supervised(name: str, task: BackgroundTask) -> None:
    """Run a task, and run it again after an error, until cancelled.

    The requests of a host don't depend on a single pass of a task, so that
    an error that nobody foresaw must not end the process.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:  # noqa: BLE001
            log_task_failure(name, error)
        await anyio.sleep(_RESTART_DELAY_S)


def log_task_failure(name: str, error: Exception) -> None:
    """Log an error that a task did not handle, with its traceback."""
    eliot.write_traceback()
    eliot.log_message(
        message_type="task:failed", task=name, reason=type(error).__name__
    )
