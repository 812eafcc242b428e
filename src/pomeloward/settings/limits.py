"""Limits of what callers and targets may send."""

import typing

import msgspec

_Count = typing.Annotated[int, msgspec.Meta(ge=1)]
_Ms = typing.Annotated[float, msgspec.Meta(gt=0)]


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of requests, connections and buffers on one host."""

    header_bytes: _Count = 32_768
    header_count: _Count = 100
    body_bytes: _Count = 64 * 1024 * 1024
    # Orders are read whole before their claim, since it covers the body.
    order_body_bytes: _Count = 256 * 1024
    # A longer body is streamed once and cannot be sent to a second target.
    replay_bytes: _Count = 64 * 1024
    open_requests: _Count = 2_000
    connections: _Count = 2_000
    websocket_message_bytes: _Count = 1024 * 1024
    connect_ms: _Ms = 1_000.0
    stream_idle_ms: _Ms = 60_000.0
    keep_alive_ms: _Ms = 75_000.0
    # Below the five seconds after which common servers close idle
    # connections; a request sent into such a close has an unknown run.
    target_idle_ms: _Ms = 4_000.0
