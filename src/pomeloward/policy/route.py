"""Routes from hosts and path prefixes to services."""

import msgspec

from pomeloward import model


class WeightedService(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A service's weight among those that a route's requests go to."""

    service: model.ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where requests for a host and path prefix go, and how.

    ``prefix`` begins and ends with a slash. ``timeout_ms`` bounds the time
    until the answer, ``aim_ms`` is the latency objective. ``priority`` 0 is
    the most urgent. ``max_attempts`` bounds the targets that one request is
    sent to.
    """

    id: model.RouteId
    host: str
    prefix: str
    is_idempotent: bool
    timeout_ms: float
    aim_ms: float
    priority: int
    splits: tuple[WeightedService, ...]
    max_attempts: int = 2
    is_public: bool = False
