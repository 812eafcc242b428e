"""The partitions of this host's region under one configuration."""

import collections.abc

from pomeloward import catalog
from pomeloward import model
from pomeloward.ownership import placement
from pomeloward.ownership import preference

# The voters of a partition by the number of each roster in circulation.
Electorate = collections.abc.Mapping[int, tuple[model.HostId, ...]]


class Territory:
    """Voters and candidates of a region's partitions in every roster.

    Placements of rosters that did not change are taken over from
    ``previous``, so that most changes of the configuration cost nothing.
    """

    def __init__(
        self,
        view: catalog.View,
        region: model.RegionId,
        previous: "Territory | None" = None,
    ) -> None:
        found = view.region(region)
        self.region = region
        self.version = view.version
        self.partitions = 0 if found is None else found.partitions
        self._zones_out = _zones_out(view, region)
        self._firsts: list[model.HostId] | None = None
        self._zone_by_host: dict[model.HostId, model.ZoneId] = {}
        self._placements: dict[int, placement.Placement] = {}
        self._sources: dict[int, dict[model.HostId, model.ZoneId]] = {}
        for roster in view.rosters(region):
            zones = _zones_of(roster)
            self._sources[roster.number] = zones
            self._zone_by_host.update(zones)
            self._placements[roster.number] = _reuse(
                previous, roster.number, zones
            )
        if previous is not None and self._has_same_candidates(previous):
            self._firsts = previous.firsts()

    def electorate(self, number: int) -> Electorate:
        """Return the voters of a partition in each roster."""
        return {
            roster: placed.voters(number)
            for roster, placed in self._placements.items()
        }

    def voters(self, number: int) -> tuple[model.HostId, ...]:
        """Return the voters in all rosters, those of the newest first."""
        newest_first = sorted(self._placements, reverse=True)
        voters: dict[model.HostId, None] = {}
        for roster in newest_first:
            voters.update(
                dict.fromkeys(self._placements[roster].voters(number))
            )
        return tuple(voters)

    def _has_same_candidates(self, previous: "Territory") -> bool:
        return (
            self._newest() is previous._newest()
            and self.partitions == previous.partitions
            and self._zones_out == previous._zones_out
        )

    def _newest(self) -> placement.Placement | None:
        if not self._placements:
            return None
        return self._placements[max(self._placements)]

    def firsts(self) -> list[model.HostId]:
        """Return the first candidate of each partition."""
        newest = self._newest()
        if self._firsts is None and newest is not None:
            self._firsts = preference.balanced_firsts(
                newest, self.partitions, self.is_out
            )
        if self._firsts is None:
            self._firsts = []
        return self._firsts

    def candidates(self, number: int) -> tuple[model.HostId, ...]:
        """Return the candidates in the newest roster, best first.

        Hosts of the preferred zone come before others, and hosts of zones
        that are taken out last: they own only where nobody else is left.
        """
        newest = self._newest()
        firsts = self.firsts()
        if newest is None or number >= len(firsts):
            return ()
        preferred = newest.preferred_zone(number)

        def order(host: model.HostId) -> tuple[bool, bool, bool]:
            is_other_zone = newest.zone_of(host) != preferred
            return self.is_out(host), host != firsts[number], is_other_zone

        return tuple(sorted(newest.voters(number), key=order))

    def is_out(self, host: model.HostId) -> bool:
        """Tell whether a host is in a zone that is taken out."""
        return self._zone_by_host.get(host) in self._zones_out

    def reusable(
        self, roster: int, zones: dict[model.HostId, model.ZoneId]
    ) -> placement.Placement | None:
        """Return the placement of a roster if its hosts are the same."""
        if self._sources.get(roster) != zones:
            return None
        return self._placements[roster]


def _reuse(
    previous: Territory | None,
    roster: int,
    zones: dict[model.HostId, model.ZoneId],
) -> placement.Placement:
    reused = None if previous is None else previous.reusable(roster, zones)
    return reused or placement.Placement(zones)


def _zones_of(roster: catalog.Roster) -> dict[model.HostId, model.ZoneId]:
    """Return the zone of each host by the roster itself.

    Records of hosts may differ between versions of the configuration; if
    voters depended on them, two majorities could be without a common voter.
    """
    zones = roster.zones or (model.ZoneId(""),) * len(roster.hosts)
    return dict(zip(roster.hosts, zones, strict=True))


def _zones_out(
    view: catalog.View, region: model.RegionId
) -> frozenset[model.ZoneId]:
    zones = {host.zone for host in view.hosts() if host.region == region}
    found = (view.zone(zone) for zone in zones)
    return frozenset(zone.id for zone in found if zone and zone.is_out)
