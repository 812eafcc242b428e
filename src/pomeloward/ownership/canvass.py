"""Carries bids to the voters and their votes back to the holder."""

import collections.abc

import anyio
import anyio.abc

from pomeloward import model
from pomeloward import peer
from pomeloward.ownership import events
from pomeloward.ownership import holder
from pomeloward.ownership import messages

# A vote that takes longer than this to arrive is renewed sooner.
ASK_TIMEOUT_MS = 1_000.0
_RELEASE_TIMEOUT_MS = 300.0

Listener = collections.abc.Callable[[events.Event, float], None]


class Canvass:
    """Sends one message to each voter with all bids for it."""

    def __init__(
        self,
        region: model.RegionId,
        incarnation: model.Incarnation,
        peers: peer.Peers,
        held: holder.Holder,
        listener: Listener,
    ) -> None:
        self._region = region
        self._incarnation = incarnation
        self._peers = peers
        self._holder = held
        self._listener = listener

    def send(
        self,
        tasks: anyio.abc.TaskGroup,
        bids: holder.Bids,
        version: model.Version,
        now_ms: float,
    ) -> None:
        """Ask voters in the background; the leases count from ``now_ms``."""
        for voter, wanted in bids.items():
            ask = messages.VoteAsk(
                region=self._region,
                version=version,
                incarnation=self._incarnation,
                bids=wanted,
            )
            tasks.start_soon(self._ask, voter, ask, now_ms)

    async def _ask(
        self, voter: model.HostId, ask: messages.VoteAsk, asked_ms: float
    ) -> None:
        try:
            answer = await self._peers.request(voter, ask, ASK_TIMEOUT_MS)
        except model.PeerUnavailable:
            return
        if not isinstance(answer, messages.VoteAnswer):
            return
        now_ms = anyio.current_time() * 1000
        happened = self._holder.answered(
            voter, ask.bids, answer, asked_ms, now_ms
        )
        for event in happened:
            self._listener(event, now_ms)

    def drop(
        self,
        voters: collections.abc.Iterable[model.HostId],
        bid: messages.Bid,
    ) -> None:
        """Give the votes of a failed candidacy back."""
        for voter in voters:
            self._peers.notify(voter, self._release(bid, is_unused=True))

    async def release(
        self,
        voters: collections.abc.Iterable[model.HostId],
        bid: messages.Bid,
        successor: model.HostId,
    ) -> None:
        """Give votes back in favour of a successor, and wait for it."""
        notice = self._release(bid, successor)
        async with anyio.create_task_group() as tasks:
            for voter in voters:
                tasks.start_soon(self._release_at, voter, notice)

    async def _release_at(
        self, voter: model.HostId, notice: messages.Release
    ) -> None:
        try:
            await self._peers.request(voter, notice, _RELEASE_TIMEOUT_MS)
        except model.PeerUnavailable:
            # The vote lapses by itself.
            return

    def _release(
        self,
        bid: messages.Bid,
        successor: str = "",
        is_unused: bool = False,
    ) -> messages.Release:
        return messages.Release(
            region=self._region,
            incarnation=self._incarnation,
            bids=(bid,),
            successor=model.HostId(successor),
            is_unused=is_unused,
        )
