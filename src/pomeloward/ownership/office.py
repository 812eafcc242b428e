"""A host's duties as voter towards the others: handles their messages."""

import collections.abc

from pomeloward import membership
from pomeloward import model
from pomeloward import peer
from pomeloward.ownership import messages
from pomeloward.ownership import voter


class VotingOffice:
    """Answers asks for votes and takes releases."""

    def __init__(
        self,
        region: model.RegionId,
        peers: peer.Peers,
        members: membership.Membership,
        version_of: collections.abc.Callable[[], model.Version],
        started_ms: float,
    ) -> None:
        self.voter = voter.Voter(started_ms)
        self._region = region
        self._members = members
        self._version_of = version_of
        peers.register_handler(messages.VoteAsk, self._vote)
        peers.register_handler(messages.Release, self._release)

    def _vote(
        self, host: model.HostId, ask: peer.Message, now_ms: float
    ) -> peer.Message | None:
        if not isinstance(ask, messages.VoteAsk) or ask.region != self._region:
            return None
        has_standing = self._members.has_standing(now_ms)
        return self.voter.answer(
            host, ask, self._version_of(), has_standing, now_ms
        )

    def _release(
        self, host: model.HostId, notice: peer.Message, now_ms: float
    ) -> peer.Message | None:
        if not isinstance(notice, messages.Release):
            return None
        if notice.region != self._region:
            return None
        self.voter.release(host, notice, now_ms)
        return messages.Released()
