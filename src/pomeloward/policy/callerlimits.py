"""Limits of what callers may send."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Bounds of a caller's request.

    A caller has ``head_ms`` from the first byte of a request's head to its
    last one, and may leave a connection unused for ``idle_ms``.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    head_ms: float = 120_000.0
    idle_ms: float = 120_000.0
