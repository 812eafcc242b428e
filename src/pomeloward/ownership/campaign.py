"""Which partitions a host stands for, and when."""

import collections.abc
import random

from pomeloward import model
from pomeloward.ownership import epochs
from pomeloward.ownership import events
from pomeloward.ownership import holder
from pomeloward.ownership import lease
from pomeloward.ownership import owners
from pomeloward.ownership import succession
from pomeloward.ownership import territory
from pomeloward.ownership import voter

# Covers one renewal and the way of its messages.
_WATCH_MS = 1.5 * lease.RENEW_MS


class Campaign:
    """Lets a host stand for partitions that it is a candidate of.

    ``has_new`` tells that a candidacy began whose bids have not been sent.
    """

    def __init__(
        self,
        own: model.HostId,
        held: holder.Holder,
        own_votes: voter.Voter,
        table: owners.OwnerTable,
        rng: random.Random,
        unix_ms: collections.abc.Callable[[], float],
    ) -> None:
        self.has_new = False
        self._own = own
        self._holder = held
        self._voter = own_votes
        self._table = table
        self._succession = succession.Succession(rng)
        self._unix_ms = unix_ms
        self._firsts: list[model.HostId] | None = None
        self._ranks: dict[int, int] = {}
        self._since_ms: dict[int, float] = {}

    def stand(self, land: territory.Territory, now_ms: float) -> None:
        """Stand for every partition that is due."""
        for number, rank in self._ranks_in(land).items():
            if self._holder.is_engaged(number):
                continue
            # A new candidate first gives the owner the time to renew here.
            since_ms = self._since_ms.setdefault(number, now_ms)
            free_at_ms = max(
                self._voter.free_at_ms(number), since_ms + _WATCH_MS
            )
            if self._succession.is_due(number, rank, free_at_ms, now_ms):
                self.stand_for(number, land, now_ms)

    def stand_for(
        self,
        number: int,
        land: territory.Territory,
        now_ms: float,
        is_probing: bool = True,
    ) -> None:
        """Stand for one partition now."""
        known = self._table.get(number)
        lowest = epochs.lowest_epoch(
            self._unix_ms(),
            0 if known is None else known.epoch,
            self._voter.highest_epoch(number),
        )
        electorate = land.electorate(number)
        self._holder.stand(number, lowest, electorate, now_ms, is_probing)
        self.has_new = True

    def failed(
        self,
        event: events.Failed,
        land: territory.Territory | None,
        now_ms: float,
    ) -> None:
        """Plan the next attempt after a candidacy without a majority."""
        rank = 0 if land is None else self._ranks_in(land).get(event.number, 0)
        self._succession.failed(event.number, rank, event.wait_ms, now_ms)

    def _ranks_in(self, land: territory.Territory) -> dict[int, int]:
        """Return this host's rank by partition, where it is a candidate."""
        # The list stays the same object while the candidates are the same.
        if land.firsts() is not self._firsts:
            self._firsts = land.firsts()
            self._ranks = {}
            for number in range(land.partitions):
                candidates = land.candidates(number)
                if self._own in candidates:
                    self._ranks[number] = candidates.index(self._own)
            for number in self._since_ms.keys() - self._ranks.keys():
                del self._since_ms[number]
        return self._ranks
