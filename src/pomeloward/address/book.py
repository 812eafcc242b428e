"""Chooses the addresses that callers are told to use."""

import collections
import random

from pomeloward import catalog
from pomeloward import membership
from pomeloward import model
from pomeloward import ownership
from pomeloward.address import addresses
from pomeloward.ownership import rendezvous

# A team gets the owners of its portions, two more hosts that even out the
# load of owners, and one for each 20 requests a second, so that no host
# carries much of a large team.
MIN_ADDRESSES = ownership.PORTIONS + 2
_RATE_PER_ADDRESS = 20.0
MAX_ADDRESSES = 16
OPEN_ADDRESSES = 4
# Keeps every usable host in the order, last, when all have their part.
_LEAST_WEIGHT = 0.01
# How long the list of usable hosts is kept; making it anew for each answer
# would cost more than the answer.
_CACHE_MS = 200.0


class AddressBook:
    """Implements the address answer of design section 2.7.

    Hosts that are leaving, starting, silent or in zones taken out are not
    named. All hosts give a team the same hosts, in an order of their own,
    so that callers which try the first address first spread too.

    A host without standing cannot tell which hosts are silent. It names the
    hosts of its configuration other than itself, those it hears first: its
    callers must go elsewhere, and try the next address when one fails.
    """

    def __init__(
        self,
        own: model.HostId,
        region: model.RegionId,
        members: membership.Membership,
        owners: ownership.Ownership,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._region = region
        self._members = members
        self._owners = owners
        self._rng = rng
        self._view: catalog.View | None = None
        self._usable: dict[model.HostId, addresses.Address] = {}
        self._usable_until_ms = float("-inf")
        self._owned: collections.Counter[model.HostId] = collections.Counter()
        self._weights_by_counts: dict[
            tuple[int, int], list[tuple[model.HostId, float]]
        ] = {}

    def configure(self, view: catalog.View) -> None:
        """Take a new configuration."""
        self._view = view
        self._usable_until_ms = float("-inf")

    def answer(
        self, team: model.TeamId | None, now_ms: float
    ) -> addresses.AddressAnswer:
        """Return the addresses for a team, or for open routes for None."""
        self._refresh(now_ms)
        if not self._members.has_standing(now_ms):
            chosen = self._elsewhere(now_ms)
        elif team is None:
            count = min(OPEN_ADDRESSES, len(self._usable))
            chosen = self._rng.sample(list(self._usable), count)
        else:
            chosen = self._for_team(team, now_ms)
        return addresses.AddressAnswer(
            tuple(self._usable[host] for host in chosen)
        )

    def _for_team(
        self, team: model.TeamId, now_ms: float
    ) -> list[model.HostId]:
        owners = self._owners_of_portions(team, now_ms)
        count = self._count(team)
        weights = self._weights(len(owners), count)
        # The owners may come among the first; they are left out here.
        others = [
            host
            for host in rendezvous.weighted(team, weights, count)
            if host not in owners
        ][: count - len(owners)]
        self._rng.shuffle(owners)
        self._rng.shuffle(others)
        return owners + others

    def _owners_of_portions(
        self, team: model.TeamId, now_ms: float
    ) -> list[model.HostId]:
        region = self._view.region(self._region) if self._view else None
        if region is None:
            return []
        owners: dict[model.HostId, None] = {}
        for portion in range(ownership.PORTIONS):
            partition = ownership.portion_partition(region, team, portion)
            owner = self._owners.owner_of(partition, now_ms)
            if owner is not None and owner in self._usable:
                owners[owner] = None
        return list(owners)

    def _weights(
        self, owners: int, count: int
    ) -> list[tuple[model.HostId, float]]:
        """Return how much each host should get beside what it owns.

        Of a team's requests the part ``owners`` / ``count`` goes to the
        owners of its portions. Over many teams a host gets that part in
        proportion to its partitions, and the weights fill it up to the mean.
        """
        weights = self._weights_by_counts.get((owners, count))
        if weights is None:
            mean = 1.0 / max(1, len(self._usable))
            part = owners / count / max(1, sum(self._owned.values()))
            least = _LEAST_WEIGHT * mean
            weights = [
                (host, max(least, mean - part * self._owned[host]))
                for host in self._usable
            ]
            self._weights_by_counts[owners, count] = weights
        return weights

    def _count(self, team: model.TeamId) -> int:
        found = self._view.team(team) if self._view else None
        rate_per_s = 0.0 if found is None else found.rate_per_s
        rate_per_s *= self._share()
        more = int(rate_per_s / _RATE_PER_ADDRESS)
        return min(MAX_ADDRESSES, MIN_ADDRESSES + more)

    def _share(self) -> float:
        """Return this region's share of every team's rate."""
        if self._view is None:
            return 1.0
        shares = {r.id: r.budget_share_ratio for r in self._view.regions()}
        total = sum(shares.values())
        return shares.get(self._region, 0.0) / total if total > 0 else 1.0

    def _refresh(self, now_ms: float) -> None:
        if self._view is None or now_ms < self._usable_until_ms:
            return
        self._usable_until_ms = now_ms + _CACHE_MS
        if self._members.has_standing(now_ms):
            hosts = list(self._members.ready_hosts(now_ms))
        else:
            hosts = [
                host.id
                for host in self._view.hosts()
                if host.region == self._region and host.id != self._own
            ]
        self._owned = self._count_owned(self._view, now_ms)
        self._weights_by_counts = {}
        self._usable = {}
        for host in hosts:
            found = self._address(host, self._view)
            if found is not None:
                self._usable[host] = found

    def _count_owned(
        self, view: catalog.View, now_ms: float
    ) -> collections.Counter[model.HostId]:
        region = view.region(self._region)
        numbers = range(0 if region is None else region.partitions)
        owners = (
            self._owners.owner_of(
                ownership.make_partition(self._region, number), now_ms
            )
            for number in numbers
        )
        return collections.Counter(host for host in owners if host)

    def _address(
        self, host: model.HostId, view: catalog.View
    ) -> addresses.Address | None:
        record = view.host(host)
        if record is None:
            return None
        zone = view.zone(record.zone)
        if zone is not None and zone.is_out:
            return None
        return addresses.Address(
            record.id, record.zone, record.address, record.caller_port
        )

    def _elsewhere(self, now_ms: float) -> list[model.HostId]:
        hosts = [host for host in self._usable if host != self._own]
        self._rng.shuffle(hosts)
        ready = model.HostState.READY
        hosts.sort(
            key=lambda host: self._members.state_of(host, now_ms) is not ready
        )
        return hosts[:OPEN_ADDRESSES]
