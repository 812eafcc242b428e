"""The decisions of a host as candidate and owner of partitions."""

import collections.abc

from pomeloward import model
from pomeloward.ownership import events
from pomeloward.ownership import messages
from pomeloward.ownership import tenure
from pomeloward.ownership import territory

# A candidacy that has no majority after this time is given up; answers take
# a few milliseconds where the voters are reachable.
CANDIDACY_MS = 1_000.0

Bids = dict[model.HostId, tuple[messages.Bid, ...]]


class Holder:
    """Gathers and renews votes for many partitions.

    Bids to one voter are meant to travel in one message. ``asked_ms`` in
    ``answered`` is the time of the ``bids`` or ``renewals`` call whose
    result was sent.
    """

    def __init__(self) -> None:
        self._tenures: dict[int, tenure.Tenure] = {}
        self._highest: dict[int, int] = {}
        self._waits_ms: dict[int, float] = {}

    def holds(self, number: int, now_ms: float) -> model.Epoch | None:
        """Return the epoch of a partition that is owned now."""
        found = self._tenures.get(number)
        if found is None or not found.is_valid(now_ms):
            return None
        return model.Epoch(found.epoch)

    def owned(self, now_ms: float) -> list[int]:
        """Return the numbers of the partitions owned now."""
        return [
            number
            for number, found in self._tenures.items()
            if found.is_valid(now_ms)
        ]

    def needs_new_epoch(self, number: int) -> bool:
        """Tell whether a voter will not renew an owned partition's epoch."""
        found = self._tenures.get(number)
        return found is not None and found.is_owner and found.has_low_epoch

    def is_engaged(self, number: int) -> bool:
        """Tell whether a partition is owned or stood for."""
        return number in self._tenures

    def stand(
        self,
        number: int,
        lowest_epoch: int,
        electorate: territory.Electorate,
        now_ms: float,
        is_probing: bool = True,
    ) -> None:
        """Become a candidate with a new epoch, ``lowest_epoch`` or more."""
        epoch = max(lowest_epoch, self._highest.get(number, 0) + 1)
        self._highest[number] = epoch
        self._tenures[number] = tenure.Tenure(
            number, epoch, electorate, now_ms, is_probing
        )
        self._waits_ms[number] = 0.0

    def bids(self, now_ms: float) -> Bids:
        """Return what candidacies have to ask of each voter."""
        return _by_voter(
            (found, found.missing(now_ms))
            for found in self._tenures.values()
            if not found.is_owner
        )

    def renewals(self, now_ms: float) -> Bids:
        """Return the renewals of all owned partitions for each voter."""
        return _by_voter(
            (found, found.voters())
            for found in self._tenures.values()
            if found.is_valid(now_ms)
        )

    def answered(
        self,
        voter: model.HostId,
        bids: tuple[messages.Bid, ...],
        answer: messages.VoteAnswer,
        asked_ms: float,
        now_ms: float,
    ) -> list[events.Event]:
        """Count a voter's answer."""
        # A tenure that has lapsed must not be revived by a late answer.
        happened = self.expire(now_ms)
        for bid, vote in zip(bids, answer.votes, strict=False):
            found = self._tenures.get(bid.number)
            if found is None or found.bid() != bid:
                continue
            if vote.verdict is not messages.Verdict.GRANTED:
                happened += self._refused(found, voter, vote)
            elif found.is_probing:
                happened += self._probed(found, voter, vote)
            else:
                found.grant(voter, vote.value, asked_ms)
                happened += self._conclude(found, now_ms)
        if any(
            vote.verdict is messages.Verdict.STALE_VERSION
            for vote in answer.votes
        ):
            happened.append(events.Outdated(voter, answer.version))
        return happened

    def _conclude(
        self, found: tenure.Tenure, now_ms: float
    ) -> list[events.Event]:
        if found.is_owner or found.valid_until_ms <= now_ms:
            return []
        found.is_owner = True
        previous = found.proven_previous(now_ms)
        return [events.Acquired(found.number, found.epoch, previous)]

    def _probed(
        self, found: tenure.Tenure, voter: model.HostId, vote: messages.Vote
    ) -> list[events.Event]:
        if not found.probe(voter, vote.value):
            return []
        self._highest[found.number] = found.epoch
        return [events.Probed(found.number)]

    def _refused(
        self, found: tenure.Tenure, voter: model.HostId, vote: messages.Vote
    ) -> list[events.Event]:
        number = found.number
        if vote.verdict is messages.Verdict.LOW_EPOCH:
            self._highest[number] = max(self._highest[number], vote.value)
            found.has_low_epoch = True
        else:
            wait_ms = max(self._waits_ms[number], float(vote.value))
            self._waits_ms[number] = wait_ms
        if found.is_owner or not found.refuse(voter):
            return []
        return [self._fail(found)]

    def expire(self, now_ms: float) -> list[events.Event]:
        """End the tenures that lapsed and the candidacies that failed."""
        happened: list[events.Event] = []
        for number, found in list(self._tenures.items()):
            if found.is_owner:
                if now_ms >= found.valid_until_ms:
                    del self._tenures[number]
                    happened.append(events.Lost(number, found.epoch))
            elif now_ms >= found.started_ms + CANDIDACY_MS:
                happened.append(self._fail(found))
        return happened

    def _fail(self, found: tenure.Tenure) -> events.Failed:
        del self._tenures[found.number]
        return events.Failed(
            found.number,
            found.epoch,
            frozenset() if found.is_probing else frozenset(found.voters()),
            self._waits_ms[found.number],
        )

    def surrender(self, number: int) -> tenure.Tenure:
        """Give up a partition at once, before its votes are released."""
        return self._tenures.pop(number)

    def configure(
        self,
        electorate_of: collections.abc.Callable[[int], territory.Electorate],
        now_ms: float,
    ) -> None:
        """Count all tenures under the rosters of a new configuration."""
        for number, found in self._tenures.items():
            found.configure(electorate_of(number), now_ms)


def _by_voter(
    wanted: collections.abc.Iterable[
        tuple[tenure.Tenure, collections.abc.Iterable[model.HostId]]
    ],
) -> Bids:
    bids: dict[model.HostId, list[messages.Bid]] = {}
    for found, voters in wanted:
        for voter in voters:
            bids.setdefault(voter, []).append(found.bid())
    return {voter: tuple(found) for voter, found in bids.items()}
