"""Limits on the requests and connections of all callers."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Sizes and times that a caller's request or connection may not exceed."""

    # Path, query string and headers of a request together.
    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    # From the first byte of a request's head to its last one.
    head_ms: float = 120_000.0
    # How long a connection may stay open without a request.
    idle_ms: float = 120_000.0
