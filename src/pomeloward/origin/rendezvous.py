"""Rendezvous hashing for the choice of readers and pushes.

D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
rates" (1998).
"""

import collections
import collections.abc

import xxhash

from pomeloward import model


def ranked(
    purpose: str, hosts: collections.abc.Iterable[model.HostId]
) -> list[model.HostId]:
    """Return hosts by descending weight for a purpose."""
    return sorted(
        hosts,
        key=lambda host: (
            xxhash.xxh64_intdigest(f"{purpose}/{host}".encode()),
            host,
        ),
        reverse=True,
    )


def ranked_over_zones(
    purpose: str,
    zone_of: collections.abc.Mapping[model.HostId, model.ZoneId],
) -> list[model.HostId]:
    """Return hosts by weight, taking one of each zone in turn."""
    taken: collections.Counter[model.ZoneId] = collections.Counter()
    turns: list[tuple[int, int, model.HostId]] = []
    for place, host in enumerate(ranked(purpose, zone_of)):
        zone = zone_of[host]
        turns.append((taken[zone], place, host))
        taken[zone] += 1
    return [host for _, _, host in sorted(turns)]
