"""What the loss of a rack takes from the partitions of a region."""

import collections.abc
import dataclasses

from bench.capacity import plannedfleet
from bench.capacity import size
from pomeloward import model
from pomeloward.orders import quorum
from pomeloward.ownership import territory

RACK_HOSTS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Partitions without owner, without majority, without history."""

    hosts: int
    owners: int
    majorities: int
    histories: int


def of_rack() -> Loss:
    """Return the loss of 20 hosts of one zone, the worst of all zones."""
    return _worst(RACK_HOSTS)


def of_zone() -> Loss:
    """Return the loss of an availability zone, the worst of all."""
    return _worst(None)


def _worst(count: int | None) -> Loss:
    losses = []
    for number in range(size.REGIONS):
        region = model.RegionId(f"region-{number}")
        view = plannedfleet.region_view(region, size.PARTITIONS)
        land = territory.Territory(view, region)
        for zone in view.zones():
            members = [h.id for h in view.hosts() if h.zone == zone.id]
            losses.append(_loss(land, frozenset(members[:count])))
    return max(losses, key=lambda loss: (loss.majorities, loss.histories))


def _loss(
    land: territory.Territory, lost: collections.abc.Set[model.HostId]
) -> Loss:
    owners = sum(first in lost for first in land.firsts())
    majorities = histories = 0
    for number in range(land.partitions):
        voters = land.voters(number)
        left = sum(voter not in lost for voter in voters)
        majorities += 2 * left <= len(voters)
        histories += left < quorum.read_quorum(len(voters))
    return Loss(len(lost), owners, majorities, histories)
