"""Which voter of each partition should own it."""

import collections
import collections.abc

from pomeloward import model
from pomeloward.ownership import placement

# Two passes are enough in practice; the bound keeps the work small.
_PASSES = 5


def balanced_firsts(
    placed: placement.Placement,
    partitions: int,
    is_out: collections.abc.Callable[[model.HostId], bool],
) -> list[model.HostId]:
    """Return the first candidate of each partition.

    It is a voter of the partition's preferred zone, chosen so that hosts
    are first of about the same number of partitions: by rendezvous scores
    alone one of 213 hosts would own 9 of 640, and others none. All hosts
    with the same roster come to the same choice. It is a preference only:
    safety does not depend on it.
    """
    options = [
        _options(placed, number, is_out) for number in range(partitions)
    ]
    if not all(options):
        return []
    counts: collections.Counter[model.HostId] = collections.Counter()
    firsts = []
    for choice in options:
        first = min(choice, key=counts.__getitem__)
        counts[first] += 1
        firsts.append(first)
    for _ in range(_PASSES):
        if not _improve(firsts, options, counts):
            break
    return firsts


def _options(
    placed: placement.Placement,
    number: int,
    is_out: collections.abc.Callable[[model.HostId], bool],
) -> list[model.HostId]:
    voters = placed.voters(number)
    usable = [host for host in voters if not is_out(host)] or list(voters)
    preferred = placed.preferred_zone(number)
    return [
        host for host in usable if placed.zone_of(host) == preferred
    ] or usable


def _improve(
    firsts: list[model.HostId],
    options: list[list[model.HostId]],
    counts: collections.Counter[model.HostId],
) -> bool:
    """Move partitions to hosts with at least two fewer."""
    has_moved = False
    for number, choice in enumerate(options):
        best = min(choice, key=counts.__getitem__)
        if counts[firsts[number]] > counts[best] + 1:
            counts[firsts[number]] -= 1
            counts[best] += 1
            firsts[number] = best
            has_moved = True
    return has_moved
