"""``Ownership`` by leases over peers."""

import collections.abc
import random
import time

import anyio
import anyio.abc

from pomeloward import catalog
from pomeloward import membership
from pomeloward import model
from pomeloward import peer
from pomeloward.ownership import campaign
from pomeloward.ownership import canvass
from pomeloward.ownership import events
from pomeloward.ownership import gazette
from pomeloward.ownership import holder
from pomeloward.ownership import lease
from pomeloward.ownership import messages
from pomeloward.ownership import office
from pomeloward.ownership import partitions
from pomeloward.ownership import partitionuser
from pomeloward.ownership import territory
from pomeloward.ownership import transfer
from pomeloward.ownership import users

_TICK_MS = 50.0
# Time between the bids of a candidacy to the voters that have not granted.
_BID_MS = 250.0

# Asks for a newer configuration from the host that has it.
FetchVersion = collections.abc.Callable[[model.HostId, model.Version], None]


class LeasedOwnership:
    """Votes, stands for partitions, owns and hands over.

    Example::

        owned = LeasedOwnership(identity, region, peers, members, rng)
        owned.add_user(budgets)
        owned.configure(view, now_ms)
        tasks.start_soon(owned.run)
    """

    def __init__(
        self,
        own: peer.Identity,
        region: model.RegionId,
        peers: peer.Peers,
        members: membership.Membership,
        rng: random.Random,
        fetch_version: FetchVersion | None = None,
        unix_ms: collections.abc.Callable[[], float] | None = None,
    ) -> None:
        now_ms = anyio.current_time() * 1000
        self._own = own
        self._region = region
        self._members = members
        self._fetch_version = fetch_version
        self._land: territory.Territory | None = None
        self._users = users.Users()
        self._holder = holder.Holder()
        self._canvass = canvass.Canvass(
            region, own.incarnation, peers, self._holder, self._happened
        )
        self._office = office.VotingOffice(
            region, peers, members, self._version, now_ms
        )
        self._gazette = gazette.Gazette(region, peers, members, rng)
        self._campaign = campaign.Campaign(
            own.host,
            self._holder,
            self._office.voter,
            self._gazette.table,
            rng,
            unix_ms or _unix_ms,
        )
        self._transfers = transfer.Transfers(
            own.host,
            region,
            peers,
            members,
            self._holder,
            self._canvass,
            self._users,
            self._take_over,
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._bid_at_ms = 0.0
        self._renew_at_ms = 0.0

    def add_user(self, user: partitionuser.PartitionUser) -> None:
        """Register a module with state at the owners."""
        self._users.add(user)

    def configure(self, view: catalog.View, now_ms: float) -> None:
        """Take the rosters of a new configuration."""
        land = territory.Territory(view, self._region, self._land)
        self._land = land
        self._holder.configure(land.electorate, now_ms)

    def _version(self) -> model.Version:
        return model.Version(0) if self._land is None else self._land.version

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._gazette.run)
            while True:
                self._tick(tasks, anyio.current_time() * 1000)
                await anyio.sleep(_TICK_MS / 1000)

    async def drain(self) -> None:
        """Hand over all partitions; for a planned stop.

        The host's state must be draining, or it stands for them again.
        """
        if self._land is not None:
            await self._transfers.hand_over_all(self._land)

    def _tick(self, tasks: anyio.abc.TaskGroup, now_ms: float) -> None:
        for event in self._holder.expire(now_ms):
            self._happened(event, now_ms)
        land = self._land
        if land is None or not self._members.has_standing(now_ms):
            return
        if self._may_own(land, now_ms):
            self._campaign.stand(land, now_ms)
        if self._campaign.has_new or now_ms >= self._bid_at_ms:
            self._send_bids(tasks, land, now_ms)
        if now_ms >= self._renew_at_ms:
            self._renew_at_ms = now_ms + lease.RENEW_MS
            renewals = self._holder.renewals(now_ms)
            self._canvass.send(tasks, renewals, land.version, now_ms)
        if self._transfers.is_due(now_ms):
            tasks.start_soon(self._transfers.check, land, now_ms)

    def _may_own(self, land: territory.Territory, now_ms: float) -> bool:
        state = self._members.state_of(self._own.host, now_ms)
        return state is model.HostState.READY and not land.is_out(
            self._own.host
        )

    def _send_bids(
        self,
        tasks: anyio.abc.TaskGroup,
        land: territory.Territory,
        now_ms: float,
    ) -> None:
        self._campaign.has_new = False
        self._bid_at_ms = now_ms + _BID_MS
        bids = self._holder.bids(now_ms)
        self._canvass.send(tasks, bids, land.version, now_ms)

    def _take_over(self, number: int, now_ms: float) -> bool:
        """Stand at once for a partition that a predecessor hands over."""
        land = self._land
        if land is None or self._tasks is None:
            return False
        if not self._may_own(land, now_ms):
            return False
        if not self._members.has_standing(now_ms):
            return False
        if not self._holder.is_engaged(number):
            self._campaign.stand_for(number, land, now_ms, is_probing=False)
        self._send_bids(self._tasks, land, now_ms)
        return True

    def _happened(self, event: events.Event, now_ms: float) -> None:
        if isinstance(event, events.Acquired):
            self._acquired(event, now_ms)
        elif isinstance(event, events.Probed):
            if self._land is not None and self._tasks is not None:
                self._send_bids(self._tasks, self._land, now_ms)
        elif isinstance(event, events.Lost):
            self._users.lost(self._partition(event.number), now_ms)
        elif isinstance(event, events.Failed):
            bid = messages.Bid(event.number, event.epoch)
            self._canvass.drop(event.voters, bid)
            self._campaign.failed(event, self._land, now_ms)
        elif self._fetch_version is not None:
            self._fetch_version(event.voter, event.version)

    def _acquired(self, event: events.Acquired, now_ms: float) -> None:
        states = self._transfers.take(event.number, event.previous, now_ms)
        partition = self._partition(event.number)
        epoch = model.Epoch(event.epoch)
        self._users.acquired(partition, epoch, states, now_ms)
        tenancy = messages.Tenancy(event.number, event.epoch, self._own.host)
        self._gazette.announce((tenancy,))

    def _partition(self, number: int) -> model.PartitionId:
        return partitions.make_partition(self._region, number)

    def _number(self, partition: model.PartitionId) -> int | None:
        region, number = partitions.split_partition(partition)
        return number if region == self._region else None

    def owner_of(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.HostId | None:
        """Return the owner as far as known, or None."""
        number = self._number(partition)
        if number is None:
            return None
        if self.holds(partition, now_ms) is not None:
            return self._own.host
        known = self._gazette.table.get(number)
        if known is None or known.host == self._own.host:
            return None
        if self._members.is_silent(known.host, now_ms):
            return None
        return known.host

    def holds(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.Epoch | None:
        """Return this host's epoch if it owns the partition now."""
        number = self._number(partition)
        if number is None or not self._members.has_standing(now_ms):
            return None
        return self._holder.holds(number, now_ms)

    def voters_of(
        self, partition: model.PartitionId
    ) -> tuple[model.HostId, ...]:
        """Return the voters of a partition in all rosters, newest first."""
        number = self._number(partition)
        if number is None or self._land is None:
            return ()
        return self._land.voters(number)

    def memory_started_ms(self) -> float:
        """Return since when this host, as a voter, remembers its votes."""
        return self._office.voter.started_ms


def _unix_ms() -> float:
    return time.time() * 1000
