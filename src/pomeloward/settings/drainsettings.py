"""Settings of the graceful shutdown of a host."""

import typing

import msgspec


class DrainSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How long a draining host accepts and completes requests.

    New requests are accepted for ``accept_ms``. This is at least as long as
    callers may cache an address response, so that callers with an old
    response are still served. Requests that are then in progress may take
    another ``limit_ms``; 0 means no limit.
    """

    accept_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 11_000.0
    limit_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
