"""Settings of the log."""

import typing

import msgspec


class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the log goes and how much of it is written.

    ``file`` is a path, ``-`` for standard error, or empty for no log.
    ``request_ratio`` is the share of served requests that get an action of
    their own; refused and failed ones are always logged, up to
    ``refusals_per_s``.
    """

    file: str = "-"
    request_ratio: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01
    refusals_per_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 50.0
