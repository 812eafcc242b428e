"""Rendezvous hashing (D. Thaler and C. Ravishankar, 1998) by xxhash.

Every host computes the same order of hosts for a name without a message,
and the loss of a host moves only what that host had.
"""

import collections.abc
import heapq
import math

import xxhash

from pomeloward import model

# One more than the largest hash; with 1 added to a hash it makes a fraction
# in (0, 1].
_HASH_RANGE = 2.0**64


def name_hash(name: str) -> int:
    """Return a stable 64-bit hash of a name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def ranked(
    name: str, hosts: collections.abc.Iterable[model.HostId]
) -> list[model.HostId]:
    """Return the hosts in the order of their scores for a name."""
    seed = name_hash(name)
    scored = [
        (xxhash.xxh3_64_intdigest(host.encode(), seed), host) for host in hosts
    ]
    scored.sort(reverse=True)
    return [host for _, host in scored]


def weighted(
    name: str,
    weights: collections.abc.Iterable[tuple[model.HostId, float]],
    count: int,
) -> list[model.HostId]:
    """Return the first hosts in an order in which weight makes early places.

    A host is first with a probability in proportion to its weight, which
    must be above 0 (C. Schindelhauer and G. Schomaker, "Weighted distributed
    hash tables", 2005).
    """
    seed = name_hash(name)
    scored = []
    for host, weight in weights:
        score = xxhash.xxh3_64_intdigest(host.encode(), seed)
        scored.append((-math.log((score + 1) / _HASH_RANGE) / weight, host))
    return [host for _, host in heapq.nsmallest(count, scored)]
