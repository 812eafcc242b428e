"""The decisions of a voter."""

import dataclasses

from pomeloward import model
from pomeloward.ownership import lease
from pomeloward.ownership import messages

_Holder = tuple[model.HostId, model.Incarnation]


@dataclasses.dataclass(slots=True)
class _Record:
    """The last vote for a partition.

    ``before`` is the record that this one replaced.
    """

    holder: _Holder
    epoch: int
    until_ms: float
    before: "_Record | None" = None
    is_released: bool = False
    reserved_for: str = ""
    reserved_until_ms: float = 0.0

    @property
    def previous(self) -> int:
        """The highest epoch granted before this one, or 0."""
        return 0 if self.before is None else self.before.epoch


class Voter:
    """Grants each partition to one holder at a time, in memory.

    Times are of the voter's own clock. A vote counts as in use until the
    lease has ended on the slowest clock that the drift bound allows. After
    its start a voter is silent for that long, since it does not know what it
    granted before. Another incarnation of a holder counts as another holder.
    """

    def __init__(self, started_ms: float) -> None:
        self.started_ms = started_ms
        self._records: dict[int, _Record] = {}

    def is_silent(self, now_ms: float) -> bool:
        """Tell whether a vote from before the start may be in use."""
        return now_ms < self._silent_until_ms()

    def _silent_until_ms(self) -> float:
        return self.started_ms + lease.SILENCE_MS

    def answer(
        self,
        candidate: model.HostId,
        ask: messages.VoteAsk,
        version: model.Version,
        has_standing: bool,
        now_ms: float,
    ) -> messages.VoteAnswer:
        """Vote on all bids of a candidate."""
        refusal = self._refuse_all(ask, version, has_standing, now_ms)
        holder = (candidate, ask.incarnation)
        votes = tuple(
            refusal or self._vote(holder, bid, now_ms) for bid in ask.bids
        )
        return messages.VoteAnswer(version=version, votes=votes)

    def _refuse_all(
        self,
        ask: messages.VoteAsk,
        version: model.Version,
        has_standing: bool,
        now_ms: float,
    ) -> messages.Vote | None:
        if self.is_silent(now_ms):
            wait_ms = _round_up(self._silent_until_ms() - now_ms)
            return messages.Vote(messages.Verdict.SILENT, wait_ms)
        if ask.version < version:
            return messages.Vote(messages.Verdict.STALE_VERSION)
        if not has_standing:
            return messages.Vote(messages.Verdict.NO_STANDING)
        return None

    def _vote(
        self, holder: _Holder, bid: messages.Bid, now_ms: float
    ) -> messages.Vote:
        record = self._records.get(bid.number)
        if record is None:
            if bid.epoch == messages.PROBE_EPOCH:
                return messages.Vote(messages.Verdict.GRANTED)
            return self._grant(holder, bid, None, now_ms)
        if record.holder != holder:
            wait_ms = self._wait_ms(record, holder[0], now_ms)
            if wait_ms > 0:
                return messages.Vote(messages.Verdict.HELD, _round_up(wait_ms))
        elif bid.epoch == record.epoch and not record.is_released:
            return self._renew(record, now_ms)
        if bid.epoch == messages.PROBE_EPOCH:
            return messages.Vote(messages.Verdict.GRANTED, record.epoch)
        if bid.epoch <= record.epoch:
            return messages.Vote(messages.Verdict.LOW_EPOCH, record.epoch)
        return self._grant(holder, bid, record, now_ms)

    def _wait_ms(
        self, record: _Record, candidate: model.HostId, now_ms: float
    ) -> float:
        if record.is_released and record.reserved_for != candidate:
            return record.reserved_until_ms - now_ms
        return 0.0 if record.is_released else record.until_ms - now_ms

    def _grant(
        self,
        holder: _Holder,
        bid: messages.Bid,
        before: _Record | None,
        now_ms: float,
    ) -> messages.Vote:
        if before is not None:
            before.before = None
        until_ms = model.outstanding_until_ms(now_ms, lease.LEASE_MS)
        record = _Record(holder, bid.epoch, until_ms, before)
        self._records[bid.number] = record
        return messages.Vote(messages.Verdict.GRANTED, record.previous)

    def _renew(self, record: _Record, now_ms: float) -> messages.Vote:
        record.until_ms = model.outstanding_until_ms(now_ms, lease.LEASE_MS)
        return messages.Vote(messages.Verdict.GRANTED, record.previous)

    def release(
        self,
        holder: model.HostId,
        notice: messages.Release,
        now_ms: float,
    ) -> None:
        """Free the votes that a holder gives back."""
        for bid in notice.bids:
            record = self._records.get(bid.number)
            if record is None or record.epoch != bid.epoch:
                continue
            if record.holder != (holder, notice.incarnation):
                continue
            if notice.is_unused:
                self._undo(bid.number, record)
                continue
            record.is_released = True
            record.reserved_for = notice.successor
            if notice.successor:
                record.reserved_until_ms = now_ms + lease.RESERVE_MS

    def _undo(self, number: int, record: _Record) -> None:
        """Forget a vote under which nobody ever owned.

        An owner with a lower epoch, which the candidate was cut off from or
        lost against, can then renew here again.
        """
        if record.before is None:
            del self._records[number]
        else:
            self._records[number] = record.before

    def free_at_ms(self, number: int) -> float:
        """Return when, by this voter's memory, a partition becomes free."""
        record = self._records.get(number)
        if record is None:
            return self._silent_until_ms()
        if record.is_released:
            return record.reserved_until_ms
        return record.until_ms

    def highest_epoch(self, number: int) -> int:
        """Return the highest epoch granted for a partition, or 0."""
        record = self._records.get(number)
        return 0 if record is None else record.epoch


def _round_up(wait_ms: float) -> int:
    return int(wait_ms) + 1
