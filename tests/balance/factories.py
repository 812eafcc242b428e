"""Factories for the targets, routes and balancers of tests."""

import random

from pomeloward import balance
from pomeloward import model
from pomeloward import policy as policy
from pomeloward import replica

SERVICE_ID = model.ServiceId("orders")
LOCAL_ZONE = model.ZoneId("a")
REMOTE_ZONE = model.ZoneId("b")


def make_route(name="r", is_idempotent=False, aim_ms=500.0):
    """Return a route to the service of the tests."""
    return policy.Route(
        model.RouteId(name),
        "h",
        "/",
        is_idempotent,
        2_000.0,
        aim_ms,
        1,
        (policy.WeightedService(SERVICE_ID, 1.0),),
    )


def make_target(name, zone=LOCAL_ZONE, **fields):
    """Return a target with three slots; ``fields`` override its fields."""
    target_fields = {"slots": 3}
    target_fields.update(fields)
    return replica.Target(
        model.TargetId(name),
        SERVICE_ID,
        f"10.0.0.1:{len(name)}",
        zone,
        **target_fields,
    )


def make_balancer(
    targets,
    cold_per_s=11.0,
    zones_out_of_service=(),
    seed=1,
    target_limits=None,
):
    """Return the balancer of a host in ``LOCAL_ZONE`` with given targets."""
    rng = random.Random(seed)
    balancer = balance.Balancer(
        LOCAL_ZONE,
        lambda *_: None,
        rng,
        target_limits
        or balance.TargetLimits(LOCAL_ZONE, lambda *_: None, rng),
    )
    balancer.update_targets(targets, zones_out_of_service, 0.0)
    balancer.update_services(
        [policy.Service(SERVICE_ID, cold_per_s=cold_per_s)]
    )
    return balancer


def settle_latency(balancer, route, latency_ms=100.0, request_count=12):
    """Make a route's latency estimate converge; return the time after that.

    Each of ``request_count`` requests is answered after ``latency_ms``.
    """
    for number in range(request_count):
        attempt = balancer.start_attempt(
            SERVICE_ID, route, (), False, number * 200.0
        )
        balancer.end_attempt(
            attempt, balance.Outcome.OK, number * 200.0 + latency_ms, route
        )
    return request_count * 200.0
