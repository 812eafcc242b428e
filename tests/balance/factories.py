"""Sample targets and routes for the balancer."""

import random

from pomeloward import balance
from pomeloward import model
from pomeloward import policy as policy
from pomeloward import replica

SERVICE_ID = model.ServiceId("orders")
LOCAL_ZONE = model.ZoneId("a")
REMOTE_ZONE = model.ZoneId("b")


def make_route(name="r", is_idempotent=False, aim_ms=500.0):
    return policy.Route(
        model.RouteId(name),
        "h",
        "/",
        is_idempotent,
        2_000.0,
        aim_ms,
        1,
        (policy.Split(SERVICE_ID, 1.0),),
    )


def make_target(name, zone=LOCAL_ZONE, **fields):
    given = {"slots": 3}
    given.update(fields)
    return replica.Target(
        model.TargetId(name),
        SERVICE_ID,
        f"10.0.0.1:{len(name)}",
        zone,
        **given,
    )


def make_balancer(targets, cold_per_s=11.0, zones_out_of_service=(), seed=1):
    made = balance.Balancer(LOCAL_ZONE, lambda *_: None, random.Random(seed))
    made.update_targets(targets, zones_out_of_service, 0.0)
    made.update_services([policy.Service(SERVICE_ID, cold_per_s=cold_per_s)])
    return made


def settle_latency(made, given, latency_ms=100.0, rounds=12):
    """Let a route's usual latency settle."""
    for number in range(rounds):
        run = made.start_attempt(SERVICE_ID, given, (), False, number * 200.0)
        made.end_attempt(
            run, balance.Outcome.OK, number * 200.0 + latency_ms, given
        )
    return rounds * 200.0
