"""Configurations that consist of hosts and rosters, for tests."""

from pomeloward import catalog
from pomeloward import model


class FleetView:
    """A ``catalog.View`` with hosts spread over zones and regions.

    Host ``south-017`` is in zone ``south-2`` of 3 and so on. Every region
    has one roster of all its hosts, unless ``rosters_by_region`` says more.
    """

    def __init__(
        self, hosts=48, zones=3, regions=("south",), partitions=64, version=1
    ) -> None:
        self.version = model.Version(version)
        self.teams: dict[model.TeamId, catalog.Team] = {}
        self.zones_out: set[str] = set()
        self.rosters_by_region: dict[str, list[catalog.Roster]] = {}
        self._partitions = partitions
        self._hosts: dict[model.HostId, catalog.Host] = {}
        for i in range(hosts):
            self._add_host(i // len(regions), regions[i % len(regions)], zones)
        for region in regions:
            found = [h for h in self._hosts.values() if h.region == region]
            self.rosters_by_region[region] = [make_roster(1, found)]

    def _add_host(self, index, region, zones) -> None:
        host = model.HostId(f"{region}-{index:03}")
        self._hosts[host] = catalog.Host(
            id=host,
            zone=model.ZoneId(f"{region}-{index % zones}"),
            region=model.RegionId(region),
            address="127.0.0.1",
            caller_port=8_000 + index,
            peer_port=9_000 + index,
        )

    def host(self, host):
        return self._hosts.get(host)

    def hosts(self):
        return self._hosts.values()

    def team(self, team):
        return self.teams.get(team)

    def zone(self, zone):
        region = model.RegionId(zone.rpartition("-")[0])
        return catalog.Zone(zone, region, is_out=zone in self.zones_out)

    def region(self, region):
        return catalog.Region(region, self._partitions)

    def regions(self):
        return [self.region(region) for region in self.rosters_by_region]

    def rosters(self, region):
        return self.rosters_by_region.get(region, [])


def make_roster(number, hosts) -> catalog.Roster:
    """Return a roster of host records."""
    return catalog.Roster(
        region=hosts[0].region,
        number=number,
        hosts=tuple(host.id for host in hosts),
        zones=tuple(host.zone for host in hosts),
    )
