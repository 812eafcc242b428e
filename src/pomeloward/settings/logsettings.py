"""Settings of the log output."""

import typing

import msgspec


class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the log is written and which requests are logged.

    ``file`` is a path, ``-`` for standard error, or empty for no log.
    ``request_ratio`` is the fraction of served requests that are logged,
    each as an action of its own.
    Rejected and failed requests are always logged, up to
    ``refusals_per_s``.
    """

    file: str = "-"
    request_ratio: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01
    refusals_per_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 50.0
