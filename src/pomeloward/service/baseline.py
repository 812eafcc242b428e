"""Usual latency of each route on one host."""

import math

from pomeloward import model

# Routes of one service on one host; the least recently used one is dropped.
_MAX_ROUTES = 64
# Samples before a route's usual latency can be compared with.
_MIN_SAMPLES = 10
# Weight of a sample once many were seen: slow enough that one gray target
# does not become the usual, fast enough for a release within minutes.
_MIN_WEIGHT = 0.01
# A latency is compared as if it were at least this long.
_MIN_LATENCY_MS = 0.1


class Baseline:
    """Mean of the log latency of each route, over all targets.

    Evidence is relative to it, so that a target is not called slow because
    it serves a slow route, or because the host itself is far away.
    """

    def __init__(self) -> None:
        self._routes: dict[model.RouteId, tuple[int, float]] = {}

    def excess(self, route: model.RouteId, latency_ms: float) -> float | None:
        """Return nats above the usual latency, None while unknown."""
        samples, mean = self._routes.get(route, (0, 0.0))
        if samples < _MIN_SAMPLES:
            return None
        return math.log(max(latency_ms, _MIN_LATENCY_MS)) - mean

    def learn(self, route: model.RouteId, latency_ms: float) -> None:
        """Take the latency of a finished request."""
        samples, mean = self._routes.pop(route, (0, 0.0))
        samples = min(samples + 1, 1_000_000)
        weight = max(1 / samples, _MIN_WEIGHT)
        nats = math.log(max(latency_ms, _MIN_LATENCY_MS))
        self._routes[route] = (samples, mean + weight * (nats - mean))
        if len(self._routes) > _MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
