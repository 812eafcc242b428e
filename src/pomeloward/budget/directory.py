"""Finds the portions of a team and their owners."""

import collections.abc

import xxhash

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward.budget import place
from pomeloward.budget import portion
from pomeloward.budget import portionmapping


class Directory:
    """The places to ask for tokens of a team, as one host sees them."""

    def __init__(
        self,
        host: model.HostId,
        view: collections.abc.Callable[[], catalog.View],
        owners: ownership.OwnerLookup,
        mapping: portionmapping.PortionMapping,
    ) -> None:
        """Read the configuration in force from ``view``."""
        self._host = host
        self._view = view
        self._owners = owners
        self._mapping = mapping
        self._version: model.Version | None = None
        self._known: dict[
            model.TeamId, list[tuple[portion.Portion, model.PartitionId]]
        ] = {}

    def places(self, team: model.TeamId, now_ms: float) -> list[place.Place]:
        """Return the team's portions, nearest owner first.

        This host comes first, then owners in its availability zone, its
        region and other regions. Portions of other regions are left out
        where no owner is known, unless this region has none.
        """
        own = self._view().host(self._host)
        found = [
            place.Place(
                found_portion,
                partition,
                self._owners.owner_of(partition, now_ms),
            )
            for found_portion, partition in self._portions(team)
        ]
        region = own.region if own else None
        local = [at for at in found if at.portion.region == region]
        remote = [
            at
            for at in found
            if at.portion.region != region and (at.owner or not local)
        ]
        return sorted(local + remote, key=self._distance)

    def owner_of(
        self, source: place.Place, now_ms: float
    ) -> model.HostId | None:
        """Return the present owner of a place that was found before."""
        return self._owners.owner_of(source.partition, now_ms)

    def partition_of(
        self, found_portion: portion.Portion
    ) -> model.PartitionId | None:
        """Return the partition of a portion, None in an unknown region."""
        region = self._view().region(found_portion.region)
        if region is None:
            return None
        return self._mapping(region, found_portion.team, found_portion.index)

    def find(
        self, team: model.TeamId, region: model.RegionId, index: int
    ) -> portion.Portion:
        """Return a portion by its name; of rate 0 if it does not exist."""
        return portion.find_portion(self._view(), team, region, index)

    def _portions(
        self, team: model.TeamId
    ) -> list[tuple[portion.Portion, model.PartitionId]]:
        view = self._view()
        if view.version != self._version:
            self._version = view.version
            self._known = {}
        if team not in self._known:
            self._known[team] = [
                (found, partition)
                for found in portion.portions_of(view, team)
                if (partition := self.partition_of(found)) is not None
            ]
        return self._known[team]

    def _distance(self, at: place.Place) -> tuple[bool, bool, bool, int]:
        view = self._view()
        own = view.host(self._host)
        owner = view.host(at.owner) if at.owner else None
        # Hosts at equal distance ask the portions in different orders.
        order = xxhash.xxh32_intdigest(
            f"{self._host}/{at.portion.team}/{at.portion.index}".encode()
        )
        return (
            at.owner != self._host,
            not (own and owner and own.zone == owner.zone),
            own is None or own.region != at.portion.region,
            order,
        )
