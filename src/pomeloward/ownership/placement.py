"""Voters and candidate owners of the partitions in one roster."""

import collections.abc
import itertools

from pomeloward import model
from pomeloward.ownership import rendezvous

VOTERS = 7


class Placement:
    """Where one roster puts the partitions of its region.

    The voters of a partition are taken in turn from each zone in the order
    of their scores, so that the loss of any one of three or more zones
    leaves a majority. They follow from the roster alone. The voters are the
    candidates for the ownership too: they see the lease of a lost owner
    lapse in their own memory.

    Partitions are placed on first use; one takes about 0.1 ms with 200
    hosts.
    """

    def __init__(
        self,
        zone_by_host: collections.abc.Mapping[model.HostId, model.ZoneId],
    ) -> None:
        self._hosts = sorted(zone_by_host)
        self._zone_by_host = dict(zone_by_host)
        self._zones = sorted(set(zone_by_host.values()))
        self._voters: dict[int, tuple[model.HostId, ...]] = {}

    def preferred_zone(self, number: int) -> model.ZoneId | None:
        """Return the zone whose hosts come first as owners."""
        if not self._zones:
            return None
        return self._zones[number % len(self._zones)]

    def voters(self, number: int) -> tuple[model.HostId, ...]:
        """Return the voters of a partition."""
        known = self._voters.get(number)
        if known is None:
            known = self._voters[number] = self._choose_voters(number)
        return known

    def zone_of(self, host: model.HostId) -> model.ZoneId | None:
        """Return the zone of a host in this roster."""
        return self._zone_by_host.get(host)

    def _choose_voters(self, number: int) -> tuple[model.HostId, ...]:
        by_zone: dict[model.ZoneId, list[model.HostId]] = {}
        preferred = self.preferred_zone(number)
        if preferred is not None:
            by_zone[preferred] = []
        for host in rendezvous.ranked(str(number), self._hosts):
            by_zone.setdefault(self._zone_by_host[host], []).append(host)
        turns = itertools.zip_longest(*by_zone.values())
        chosen = (host for turn in turns for host in turn if host is not None)
        return tuple(itertools.islice(chosen, VOTERS))
