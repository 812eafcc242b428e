"""Settings of the graceful stop."""

import typing

import msgspec


class DrainSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How long a draining host goes on.

    ``accept_ms`` is at least the lifetime of an address answer, so that
    callers with an old answer are still served. A ``limit_ms`` of 0 waits
    for open work without end.
    """

    accept_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 11_000.0
    limit_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
