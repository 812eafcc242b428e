"""Runs a host in an event loop and returns the program's exit status."""

import collections.abc
import typing

import anyio

from pomeloward.commands import exitstatus


def run_until_stopped(
    run_host: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    report_error: collections.abc.Callable[[str], object],
) -> int:
    """Run until ``run_host`` returns; return the exit status.

    The text of an ``OSError``, such as that of an address in use, is passed
    to ``report_error``.
    """
    try:
        anyio.run(run_host, backend_options={"use_uvloop": True})
    except* OSError as exception_group:
        first_error: BaseException = exception_group
        while isinstance(first_error, BaseExceptionGroup):
            first_error = first_error.exceptions[0]
        report_error(str(first_error))
        exit_status = exitstatus.UNAVAILABLE
    else:
        exit_status = 0
    return exit_status
