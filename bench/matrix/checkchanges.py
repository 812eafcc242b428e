"""Checks of changes of the configuration (P4, P7, P11, P13)."""

import collections.abc

from bench.matrix import plan
from bench.matrix import seen
from bench.matrix import violation
from bench.matrix import world as worlds

Violations = collections.abc.Iterator[violation.Violation]

# Bounds of design section 1.2, from the first read of the change by a host.
_DEAD_S = 3.0
_EVERYWHERE_S = 12.0
# A look-up is noted when its answer has come back to the caller.
_ROUND_TRIP_S = 0.05


def _known(
    world: worlds.World,
) -> collections.abc.Iterator[tuple[seen.Published, float]]:
    for published in world.seen.published:
        read_at_s = world.source.read_at_s.get(published.version)
        if read_at_s is not None:
            yield published, read_at_s


def withdrawal(world: worlds.World) -> Violations:
    """P4: a withdrawn key starts and continues nothing after 3 s."""
    calls = {call.marker: call for call in world.seen.calls}
    for published, known_s in _known(world):
        until_s = known_s + _DEAD_S
        for start in world.seen.starts:
            key = calls[start.marker].key
            if key and key == published.withdrawn and start.at_s > until_s:
                yield violation.Violation(
                    "P4",
                    f"{start.marker} began at {start.at_s:.3f} s from"
                    f" {start.host}; the withdrawal was read at"
                    f" {known_s:.3f} s",
                )
        for call in calls.values():
            if not call.key or call.key != published.withdrawn:
                continue
            if call.status == 200 and call.last_at_s > until_s:
                yield violation.Violation(
                    "P4",
                    f"{call.marker} on {call.host} went on until"
                    f" {call.last_at_s:.3f} s; the withdrawal was read at"
                    f" {known_s:.3f} s",
                )


def zones_out(world: worlds.World) -> Violations:
    """P7: a zone that is out gets no new work after 3 s."""
    for published, known_s in _known(world):
        until_s = known_s + _DEAD_S
        for start in world.seen.starts:
            zone = plan.zone_of(int(start.target[1:]))
            if zone in published.zones_out and start.at_s > until_s:
                yield _late("P7", start, known_s)
        out = {
            plan.address_of(host)
            for number, host in enumerate(plan.HOSTS)
            if plan.zone_of(number) in published.zones_out
        }
        for at_s, host, named in world.seen.addresses:
            if at_s > until_s + _ROUND_TRIP_S and out.intersection(named):
                yield violation.Violation(
                    "P7",
                    f"{host} named hosts of {published.zones_out} at"
                    f" {at_s:.3f} s, {at_s - known_s:.2f} s after the read",
                )


def leaving(world: worlds.World) -> Violations:
    """P11: a leaving target gets no new work after 3 s."""
    for published, known_s in _known(world):
        for start in world.seen.starts:
            is_late = start.at_s > known_s + _DEAD_S
            if is_late and start.target in published.leaving:
                yield _late("P11", start, known_s)


def configuration(world: worlds.World) -> Violations:
    """P13: a change is in force everywhere in time, and stays in force.

    Each version has a key of its own; a host that has the version answers
    look-ups with that key.
    """
    for published, known_s in _known(world):
        in_force: set[tuple[str, int]] = set()
        for lookup in world.seen.lookups:
            if lookup.key != published.marker_key:
                continue
            start = (lookup.host, lookup.incarnation)
            if lookup.status == 200:
                in_force.add(start)
            elif start in in_force:
                yield _not_in_force(published, lookup, known_s, "no longer")
            elif lookup.at_s > known_s + _EVERYWHERE_S + _ROUND_TRIP_S:
                yield _not_in_force(published, lookup, known_s, "still not")


def _late(
    promise: str, start: seen.Start, known_s: float
) -> violation.Violation:
    kind = "connect" if start.is_connect_only else "request"
    return violation.Violation(
        promise,
        f"{start.target} got a new {kind} ({start.marker}) from {start.host}"
        f" at {start.at_s:.3f} s, {start.at_s - known_s:.2f} s after the read",
    )


def _not_in_force(
    published: seen.Published,
    lookup: seen.Lookup,
    known_s: float,
    what: str,
) -> violation.Violation:
    return violation.Violation(
        "P13",
        f"{lookup.host} had version {published.version} {what} in force at"
        f" {lookup.at_s:.3f} s, {lookup.at_s - known_s:.2f} s after the read",
    )
