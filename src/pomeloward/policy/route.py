"""Routes from hosts and path prefixes to weighted services."""

import msgspec

from pomeloward import model


class WeightedService(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A service of a route, with the weight of its share of the requests.

    The share is the weight divided by the sum of the route's weights.
    """

    service: model.ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How requests for a host and a path prefix are forwarded."""

    id: model.RouteId
    # The name in the Host header, in lower case and without a port.
    host: str
    # The path prefix, which begins and ends with a slash.
    prefix: str
    # Whether a request may run more than once.
    is_idempotent: bool
    # The longest time until the response.
    timeout_ms: float
    # The latency objective; ``timeout_ms`` is the hard limit.
    aim_ms: float
    # 0 is the most urgent.
    priority: int
    # The services that the requests are divided among.
    splits: tuple[WeightedService, ...]
    # One request is sent to at most this many targets.
    max_attempts: int = 2
    # Whether requests need no API key.
    is_public: bool = False
