"""Planned hand-over of partitions with their state."""

import collections.abc

import anyio

from pomeloward import membership
from pomeloward import model
from pomeloward import peer
from pomeloward.ownership import canvass
from pomeloward.ownership import handback
from pomeloward.ownership import holder
from pomeloward.ownership import inbox
from pomeloward.ownership import messages
from pomeloward.ownership import partitions
from pomeloward.ownership import territory
from pomeloward.ownership import users

_CHECK_MS = 1_000.0
_TIMEOUT_MS = 1_000.0
# How many partitions move in one check; the owner serves the others.
_MOVES = 4

# Stands for a partition now; False when this host cannot own.
TakeOver = collections.abc.Callable[[int, float], bool]


class Transfers:
    """Gives partitions to successors and takes them from predecessors.

    The owner ends its own right first, so the exported state cannot change.
    Then it releases its votes in favour of the successor, and sends the
    state last: when the successor stands, the voters are free for it. If the
    state is lost on the way, the partition changes hands without it.

    An owner whose epoch a voter will not renew hands over to itself: it gets
    a new epoch, and all voters again, without losing its state.
    """

    def __init__(
        self,
        own: model.HostId,
        region: model.RegionId,
        peers: peer.Peers,
        members: membership.Membership,
        held: holder.Holder,
        votes: canvass.Canvass,
        partition_users: users.Users,
        take_over: TakeOver,
    ) -> None:
        self._own = own
        self._region = region
        self._peers = peers
        self._members = members
        self._holder = held
        self._canvass = votes
        self._users = partition_users
        self._take_over = take_over
        self._inbox = inbox.Inbox()
        self._handback = handback.HandBack(own)
        self._check_at_ms = 0.0
        peers.register_handler(messages.HandOver, self._received)

    def is_due(self, now_ms: float) -> bool:
        """Tell whether it is time for a check."""
        return now_ms >= self._check_at_ms

    async def check(self, land: territory.Territory, now_ms: float) -> None:
        """Hand over what should be elsewhere, a few partitions at a time."""
        self._check_at_ms = now_ms + _CHECK_MS
        is_leaving = land.is_out(self._own) or self._is_draining(now_ms)
        await self._move(land, is_leaving, _MOVES, now_ms)

    def _is_draining(self, now_ms: float) -> bool:
        state = self._members.state_of(self._own, now_ms)
        return state is model.HostState.DRAINING

    async def hand_over_all(self, land: territory.Territory) -> None:
        """Hand over every partition that a ready host can take."""
        now_ms = anyio.current_time() * 1000
        await self._move(land, True, land.partitions, now_ms)

    async def _move(
        self,
        land: territory.Territory,
        is_leaving: bool,
        moves: int,
        now_ms: float,
    ) -> None:
        def state_of(host: model.HostId) -> model.HostState | None:
            return self._members.state_of(host, now_ms)

        async with anyio.create_task_group() as tasks:
            for number in self._holder.owned(now_ms):
                successor = self._handback.successor(
                    number, land, is_leaving, state_of, now_ms
                )
                if successor is None and self._holder.needs_new_epoch(number):
                    successor = self._own
                if successor is not None and moves > 0:
                    moves -= 1
                    tasks.start_soon(self._hand_over, number, successor)

    async def _hand_over(self, number: int, successor: model.HostId) -> None:
        now_ms = anyio.current_time() * 1000
        if self._holder.holds(number, now_ms) is None:
            return
        ended = self._holder.surrender(number)
        partition = partitions.make_partition(self._region, number)
        states = self._users.export(partition, now_ms)
        self._users.lost(partition, now_ms)
        bid = messages.Bid(number, ended.epoch)
        await self._canvass.release(ended.voters(), bid, successor)
        parts = inbox.split(self._region, number, ended.epoch, states)
        for part in parts:
            try:
                await self._peers.request(successor, part, _TIMEOUT_MS)
            except model.PeerUnavailable:
                return

    def _received(
        self, host: model.HostId, part: peer.Message, now_ms: float
    ) -> peer.Message | None:
        if not isinstance(part, messages.HandOver):
            return None
        if part.region != self._region:
            return None
        is_accepted = self._inbox.put(host, part, now_ms)
        if is_accepted and part.part == part.parts - 1:
            is_accepted = self._take_over(part.number, now_ms)
        return messages.HandOverAnswer(is_accepted=is_accepted)

    def take(
        self, number: int, previous_epoch: int, now_ms: float
    ) -> dict[str, bytes]:
        """Return the state that the owner directly before handed over."""
        return self._inbox.take(number, previous_epoch, now_ms)
