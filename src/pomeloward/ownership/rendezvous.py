"""Rendezvous hashing (D. Thaler and C. Ravishankar, 1998) by xxhash.

Every host computes the same order of hosts for a name without a message,
and the loss of a host moves only what that host had.
"""

import collections.abc

import xxhash

from pomeloward import model


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
