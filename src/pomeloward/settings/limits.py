"""Limits on requests, connections and buffers of a host."""

import typing

import msgspec

_PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
_PositiveMs = typing.Annotated[float, msgspec.Meta(gt=0)]


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on requests, connections and buffers of one host."""

    header_bytes: _PositiveInt = 32_768
    header_count: _PositiveInt = 100
    body_bytes: _PositiveInt = 64 * 1024 * 1024
    # An order's body is buffered whole before the order is claimed, since
    # the claim covers the body.
    order_body_bytes: _PositiveInt = 256 * 1024
    # A longer body is streamed once, so that the request cannot be retried on
    # a second target.
    replay_bytes: _PositiveInt = 64 * 1024
    open_requests: _PositiveInt = 2_000
    connections: _PositiveInt = 2_000
    websocket_message_bytes: _PositiveInt = 1024 * 1024
    connect_ms: _PositiveMs = 1_000.0
    stream_idle_ms: _PositiveMs = 60_000.0
    keep_alive_ms: _PositiveMs = 75_000.0
    # Below the 5 s after which common servers close idle connections. When a
    # request is sent while the server closes the connection, it is unknown
    # whether the server executed it.
    target_idle_ms: _PositiveMs = 4_000.0
