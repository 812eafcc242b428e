"""Spreads the knowledge of owners among the hosts of a region."""

import collections.abc
import random

import anyio

from pomeloward import membership
from pomeloward import model
from pomeloward import peer
from pomeloward.ownership import messages
from pomeloward.ownership import owners

# How many contacts a host passes news on to where not all hosts are
# contacts of each other.
FAN_OUT = 4
# Each period one contact is asked whether its table is the same, which
# repairs what lost announcements leave behind.
COMPARE_MS = 1_000.0
_TIMEOUT_MS = 1_000.0


class Gazette:
    """Announces new owners and repairs the table of known ones."""

    def __init__(
        self,
        region: model.RegionId,
        peers: peer.Peers,
        members: membership.Membership,
        rng: random.Random,
    ) -> None:
        self.table = owners.OwnerTable()
        self._region = region
        self._peers = peers
        self._members = members
        self._rng = rng
        peers.register_handler(messages.Announce, self._announced)
        peers.register_handler(messages.OwnersAsk, self._answer)

    def announce(self, tenancies: tuple[messages.Tenancy, ...]) -> None:
        """Tell all contacts about partitions that this host acquired."""
        self.table.merge(tenancies)
        self._tell(self._members.contacts(), tenancies)

    def _tell(
        self,
        hosts: collections.abc.Sequence[model.HostId],
        tenancies: tuple[messages.Tenancy, ...],
    ) -> None:
        notice = messages.Announce(region=self._region, tenancies=tenancies)
        for host in hosts:
            self._peers.notify(host, notice)

    def _announced(
        self, _: model.HostId, notice: peer.Message, __: float
    ) -> None:
        if not isinstance(notice, messages.Announce):
            return
        if notice.region != self._region:
            return
        news = self.table.merge(notice.tenancies)
        contacts = self._members.contacts()
        if news and len(contacts) > FAN_OUT:
            self._tell(self._rng.sample(contacts, FAN_OUT), news)

    def _answer(
        self, _: model.HostId, question: peer.Message, __: float
    ) -> peer.Message | None:
        if not isinstance(question, messages.OwnersAsk):
            return None
        if question.region != self._region:
            return None
        if question.checksum == self.table.checksum:
            return messages.OwnersAnswer()
        return messages.OwnersAnswer(tenancies=self.table.all())

    async def run(self) -> None:
        """Compare tables with contacts until cancelled."""
        while True:
            await anyio.sleep(COMPARE_MS / 1000)
            contacts = self._members.contacts()
            if contacts:
                await self._compare(self._rng.choice(contacts))

    async def _compare(self, host: model.HostId) -> None:
        question = messages.OwnersAsk(
            region=self._region, checksum=self.table.checksum
        )
        try:
            answer = await self._peers.request(host, question, _TIMEOUT_MS)
        except model.PeerUnavailable:
            return
        if isinstance(answer, messages.OwnersAnswer):
            self.table.merge(answer.tenancies)
