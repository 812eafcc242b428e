"""From the names of what is counted in one place to partitions."""

from pomeloward import catalog
from pomeloward import model
from pomeloward.ownership import rendezvous

PORTIONS = 3


def make_partition(region: model.RegionId, number: int) -> model.PartitionId:
    """Return the id of a region's partition."""
    return model.PartitionId(f"{region}/{number}")


def split_partition(
    partition: model.PartitionId,
) -> tuple[model.RegionId, int]:
    """Return the region and number of a partition."""
    region, _, number = partition.rpartition("/")
    return model.RegionId(region), int(number)


def partition_of(region: catalog.Region, name: str) -> model.PartitionId:
    """Return the partition of a service, an order's key or the like."""
    number = rendezvous.name_hash(name) % region.partitions
    return make_partition(region.id, number)


def portion_partition(
    region: catalog.Region, team: model.TeamId, portion: int
) -> model.PartitionId:
    """Return the partition of one portion of a team's budget.

    The portions of a team have consecutive numbers from a multiple of 3 on,
    and consecutive partitions prefer different zones, so a team's portions
    land in different zones wherever there are 3 zones or more. A region with
    fewer than 3 partitions puts portions together.
    """
    triples = region.partitions // PORTIONS
    if triples == 0:
        return make_partition(region.id, portion % region.partitions)
    first = rendezvous.name_hash(team) % triples * PORTIONS
    return make_partition(region.id, first + portion)
