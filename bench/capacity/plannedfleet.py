"""Parts of the planned fleet."""

from bench import plannedsize
from pomeloward import catalog
from pomeloward import model


def first_hosts(count: int) -> list[catalog.Record]:
    """Return regions, zones and the first hosts."""
    fleet = plannedsize.fleet()
    hosts = [each for each in fleet if isinstance(each, catalog.Host)]
    rest = [each for each in fleet if not isinstance(each, catalog.Host)]
    return [*rest, *hosts[:count]]


def region_view(
    region: model.RegionId, partitions: int
) -> catalog.Configuration:
    """Return one region with its roster and so many partitions."""
    fleet = plannedsize.fleet()
    hosts = [
        each
        for each in fleet
        if isinstance(each, catalog.Host) and each.region == region
    ]
    zones = [
        each
        for each in fleet
        if isinstance(each, catalog.Zone) and each.region == region
    ]
    roster = catalog.Roster(
        region,
        1,
        tuple(host.id for host in hosts),
        tuple(host.zone for host in hosts),
    )
    return catalog.Configuration.of_records(
        model.Version(3_000),
        [catalog.Region(region, partitions), *zones, *hosts, roster],
    )
