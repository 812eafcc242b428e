"""Who beats with whom."""

import collections.abc

import xxhash

from pomeloward import model

# Up to this many hosts of a region all beat with each other.
MAX_FULL_MESH = 48
# Rings of a large region; each gives a host two contacts.
RINGS = 16
REMOTE_CONTACTS = 2


def regional_contacts(
    own: model.HostId, hosts: collections.abc.Collection[model.HostId]
) -> tuple[model.HostId, ...]:
    """Return a host's contacts in its region.

    In a large region the hosts are put into 16 rings by hash, and a host's
    contacts are its neighbours in each: at most 32. Unlike a choice of 32 by
    rendezvous hashing the relation is symmetric, so that no host sends and
    receives twice as many beats, and every host has the same number. The
    graph is that of L. Suresh et al., "Stable and consistent membership at
    scale with Rapid" (2018).
    """
    others = set(hosts) - {own}
    if len(others) < MAX_FULL_MESH:
        return tuple(sorted(others))
    contacts: set[model.HostId] = set()
    for ring in range(RINGS):
        ordered = _ring([*others, own], ring)
        index = ordered.index(own)
        contacts.add(ordered[index - 1])
        contacts.add(ordered[(index + 1) % len(ordered)])
    return tuple(sorted(contacts))


def remote_contacts(
    own: model.HostId,
    hosts: collections.abc.Collection[model.HostId],
    others: collections.abc.Collection[model.HostId],
) -> tuple[model.HostId, ...]:
    """Return a host's contacts in another region.

    Both regions' hosts are put into one ring order each; the host's place
    in its own gives the place in the other, so contacts are spread evenly.
    """
    if not others:
        return ()
    local = _ring({*hosts, own}, 0)
    remote = _ring(others, 0)
    first = local.index(own) * len(remote) // len(local)
    count = min(REMOTE_CONTACTS, len(remote))
    return tuple(remote[(first + i) % len(remote)] for i in range(count))


def _ring(
    hosts: collections.abc.Iterable[model.HostId], ring: int
) -> list[model.HostId]:
    return sorted(
        hosts,
        key=lambda host: (
            xxhash.xxh3_64_intdigest(host.encode(), ring),
            host,
        ),
    )
