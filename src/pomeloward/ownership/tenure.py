"""One partition's votes as its holder counts them."""

import collections

from pomeloward import model
from pomeloward.ownership import lease
from pomeloward.ownership import messages
from pomeloward.ownership import territory


class Tenure:
    """A candidacy for a partition and, once won, its ownership.

    A candidacy starts by probing, unless the predecessor released its votes
    to this host. ``has_low_epoch`` tells that a voter has granted a higher
    epoch since, and will not renew this one.

    It is valid while a majority of the voters of every roster in circulation
    has granted permissions that have not ended on the holder's clock. Once
    lost it never becomes valid again: the holder needs a new epoch.
    """

    def __init__(
        self,
        number: int,
        epoch: int,
        electorate: territory.Electorate,
        started_ms: float,
        is_probing: bool = False,
    ) -> None:
        self.number = number
        self.epoch = epoch
        self.started_ms = started_ms
        self.is_probing = is_probing
        self.has_low_epoch = False
        self.is_owner = False
        self.valid_until_ms = 0.0
        self._electorate = dict(electorate)
        self._old_electorate: territory.Electorate | None = None
        self._grace_until_ms = 0.0
        self._ends_ms: dict[model.HostId, float] = {}
        self._previous: dict[model.HostId, int] = {}
        self._refused: set[model.HostId] = set()
        self._probed: set[model.HostId] = set()

    def voters(self) -> set[model.HostId]:
        """Return the voters to ask, in all rosters."""
        return {
            voter for voters in self._electorate.values() for voter in voters
        }

    def bid(self) -> messages.Bid:
        """Return what to ask of the voters now."""
        if self.is_probing:
            return messages.Bid(self.number, messages.PROBE_EPOCH)
        return messages.Bid(self.number, self.epoch)

    def missing(self, now_ms: float) -> set[model.HostId]:
        """Return the voters whose vote is missing or has ended."""
        if self.is_probing:
            return self.voters() - self._probed
        return {
            voter
            for voter in self.voters()
            if self._ends_ms.get(voter, 0.0) <= now_ms
        }

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether the holder owns the partition now."""
        return self.is_owner and now_ms < self.valid_until_ms

    def probe(self, voter: model.HostId, highest_epoch: int) -> bool:
        """Count a voter that would grant; True when a majority would.

        The candidacy then goes on with an epoch above all that were seen.
        """
        self._probed.add(voter)
        self.epoch = max(self.epoch, highest_epoch + 1)
        if not all(
            2 * len(self._probed.intersection(voters)) > len(voters)
            for voters in self._electorate.values()
        ):
            return False
        self.is_probing = False
        return True

    def grant(
        self, voter: model.HostId, previous: int, asked_ms: float
    ) -> None:
        """Count a vote that was asked for at ``asked_ms``."""
        permission = model.Lease(asked_ms, lease.LEASE_MS)
        known_ms = self._ends_ms.get(voter, 0.0)
        self._ends_ms[voter] = max(known_ms, permission.valid_until_ms)
        self._previous[voter] = previous
        self._recount()

    def refuse(self, voter: model.HostId) -> bool:
        """Count a refusal; returns True when no majority is left to win.

        A candidacy without hope is given up at once, since the votes it
        has are missing to others.
        """
        self._refused.add(voter)
        return any(
            2 * len(self._refused.intersection(voters)) >= len(voters)
            for voters in self._electorate.values()
        )

    def configure(
        self, electorate: territory.Electorate, now_ms: float
    ) -> None:
        """Count under other rosters from now on.

        Where rosters were only added, the majorities of the rosters before
        stay sufficient for one lease, the time to gather the new votes. Every
        other holder whose configuration is not retired counts one of the
        rosters before too.
        """
        if dict(electorate) == self._electorate:
            return
        self._old_electorate = None
        if electorate.items() >= self._electorate.items():
            self._old_electorate = self._electorate
            self._grace_until_ms = now_ms + lease.LEASE_MS
        self._electorate = dict(electorate)
        self._recount()

    def _recount(self) -> None:
        self.valid_until_ms = self._end_ms(self._electorate)
        if self._old_electorate is not None:
            old_end_ms = self._end_ms(self._old_electorate)
            grace_end_ms = min(old_end_ms, self._grace_until_ms)
            self.valid_until_ms = max(self.valid_until_ms, grace_end_ms)

    def _end_ms(self, electorate: territory.Electorate) -> float:
        """Return until when each roster has a majority."""
        ends_ms = [
            self._majority_end_ms(voters) for voters in electorate.values()
        ]
        return min(ends_ms, default=0.0)

    def _majority_end_ms(self, voters: tuple[model.HostId, ...]) -> float:
        if not voters:
            return 0.0
        ends_ms = sorted(self._ends_ms.get(voter, 0.0) for voter in voters)
        # With the voters in the order of their ends, a majority lasts as
        # long as the vote in the middle (the earlier middle of an even
        # number).
        return ends_ms[(len(ends_ms) - 1) // 2]

    def proven_previous(self, now_ms: float) -> int:
        """Return the epoch before this one, or 0 where it is not proven.

        It is proven when a majority of each roster granted this epoch after
        that one: an owner in between would have had a vote of one of them.
        """
        counted: collections.Counter[int] = collections.Counter(
            previous
            for voter, previous in self._previous.items()
            if self._ends_ms[voter] > now_ms
        )
        for previous, _ in counted.most_common(1):
            if self._is_majority_after(previous, now_ms):
                return previous
        return 0

    def _is_majority_after(self, previous: int, now_ms: float) -> bool:
        return all(
            2 * sum(self._agrees(voter, previous, now_ms) for voter in voters)
            > len(voters)
            for voters in self._electorate.values()
        )

    def _agrees(
        self, voter: model.HostId, previous: int, now_ms: float
    ) -> bool:
        return (
            self._previous.get(voter) == previous
            and self._ends_ms[voter] > now_ms
        )
