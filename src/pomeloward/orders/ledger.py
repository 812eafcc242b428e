"""The owner's record of the orders of one partition."""

import msgspec

from pomeloward import model
from pomeloward.orders import entries
from pomeloward.orders import entry
from pomeloward.orders import horizon
from pomeloward.orders import ledgerstate
from pomeloward.orders import messages
from pomeloward.orders import recovery

# Epochs before this one whose ids are still accepted.
_MAX_CLOCKS = 16

_STATE = entry.EntryState
_VERDICT = messages.Verdict


class Ledger:
    """Decides which attempts at orders may run.

    An order that is not found runs only if its run would be remembered. The
    ledger answers nothing until ``begin`` or ``recover`` was called. Times
    are milliseconds of the owner's clock.
    """

    def __init__(
        self,
        term: messages.Term,
        layout: int,
        now_ms: float,
        horizon_ms: float = horizon.HORIZON_MS,
    ) -> None:
        """Create the ledger of an owner that knows nothing yet."""
        self.term = term
        self._layout = layout
        self._horizon_ms = horizon_ms
        self._keep_ms = horizon.retention_ms(horizon_ms)
        self._complete_from_ms = now_ms + horizon.memory_ms(horizon_ms)
        # Until then a permit of the owner before may be in use.
        self._permits_end_ms = model.outstanding_until_ms(
            now_ms, horizon.PERMIT_MS
        )
        self._clocks: dict[messages.Term, float] = {term: 0.0}
        self._entries = entries.Entries(self._keep_ms)
        self._is_ready = False

    def begin(self, exported: bytes, now_ms: float) -> bool:
        """Take over the state of a predecessor; false if unreadable."""
        try:
            known = msgspec.msgpack.decode(
                exported, type=ledgerstate.LedgerState
            )
        except msgspec.DecodeError:
            # There is none, or another release wrote it.
            return False
        self._complete_from_ms = model.outstanding_until_ms(
            now_ms, known.incomplete_ms
        )
        if known.layout != self._layout:
            self._complete_from_ms = self._memory_from(now_ms)
        for clock in known.clocks[-_MAX_CLOCKS:]:
            self._clocks[clock.term] = clock.now_ms - now_ms
        for record in known.entries:
            until_ms = model.outstanding_until_ms(now_ms, record.remaining_ms)
            self._entries.put(
                record.name,
                entry.Entry(
                    record.team,
                    record.digest,
                    record.state,
                    until_ms,
                    frozenset(record.attempts),
                    record.answer,
                    record.is_granted,
                ),
            )
        self._is_ready = True
        return True

    def recover(self, known: recovery.Recovery, now_ms: float) -> None:
        """Take over what voters remember."""
        running_until_ms = model.outstanding_until_ms(
            now_ms, horizon.PERMIT_MS + horizon.RUN_MS
        )
        found = known.entries(running_until_ms, now_ms + self._keep_ms)
        for name, known_entry in found.items():
            self._entries.put(name, known_entry)
        if known.is_complete:
            self._complete_from_ms = now_ms
            self._clocks = known.clocks() | self._clocks
        self._is_ready = True

    def change_layout(self, layout: int, now_ms: float) -> None:
        """Note that callers' own keys map to partitions in a new way.

        Runs of keys that are new here were recorded elsewhere, so the
        history counts as incomplete again.
        """
        if layout != self._layout:
            self._layout = layout
            self._complete_from_ms = self._memory_from(now_ms)

    def claim(
        self, question: messages.ClaimOrder, now_ms: float
    ) -> messages.ClaimAnswer:
        """Decide whether an attempt may run.

        The shell adds the voters to an answer ``RUN``.
        """
        order = question.order
        if not self._is_ready:
            return messages.ClaimAnswer(verdict=_VERDICT.UNAVAILABLE)
        if order.issued is None and order.layout != self._layout:
            return messages.ClaimAnswer(verdict=_VERDICT.UNAVAILABLE)
        found = self._entries.find(order.name, now_ms)
        if found is None:
            return self._claim_new(question, now_ms)
        if found.digest != order.digest:
            return messages.ClaimAnswer(verdict=_VERDICT.CONFLICT)
        if found.state is _STATE.RUNNING:
            if found.is_granted and question.attempt in found.attempts:
                # The answer to this attempt was lost.
                found.until_ms = self._running_until(now_ms)
                return self._permit(now_ms)
            return messages.ClaimAnswer(verdict=_VERDICT.WAIT)
        if found.answer is not None:
            return messages.ClaimAnswer(
                verdict=_VERDICT.RECORDED, answer=found.answer
            )
        return messages.ClaimAnswer(verdict=_VERDICT.UNKNOWN)

    def settle(self, outcome: messages.SettleOrder, now_ms: float) -> bool:
        """Take in the outcome of an attempt.

        An order that is unknown stays so.
        """
        if not self._is_ready:
            return False
        found = self._entries.find(outcome.order.name, now_ms)
        if found is None or found.state is not _STATE.RUNNING:
            return True
        if outcome.attempt not in found.attempts:
            return True
        if outcome.outcome is messages.Outcome.CLEARED:
            found.attempts -= {outcome.attempt}
            if not found.attempts:
                self._entries.drop(outcome.order.name)
            return True
        finished = outcome.outcome is messages.Outcome.FINISHED
        self._entries.end(found, outcome.answer if finished else None, now_ms)
        return True

    def export(self, now_ms: float) -> bytes:
        """Return the state for a successor; empty while not ready."""
        if not self._is_ready:
            return b""
        records = tuple(
            ledgerstate.EntryRecord(
                name,
                found.team,
                found.digest,
                found.state,
                found.until_ms - now_ms,
                tuple(found.attempts),
                found.answer,
                found.is_granted,
            )
            for name, found in self._entries.items()
        )
        clocks = tuple(
            messages.OwnerClock(term, now_ms + offset_ms)
            for term, offset_ms in sorted(
                self._clocks.items(), key=lambda item: item[0].epoch
            )
        )
        incomplete_ms = max(0.0, self._complete_from_ms - now_ms)
        return msgspec.msgpack.encode(
            ledgerstate.LedgerState(
                records, incomplete_ms, self._layout, clocks
            )
        )

    def prune(self, now_ms: float) -> None:
        """Forget orders whose time is over."""
        self._entries.prune(now_ms)

    def _claim_new(
        self, question: messages.ClaimOrder, now_ms: float
    ) -> messages.ClaimAnswer:
        order = question.order
        may_run = self._would_remember(order, now_ms)
        if self._entries.is_full(order.team):
            verdict = _VERDICT.FULL if may_run else _VERDICT.UNAVAILABLE
            return messages.ClaimAnswer(verdict=verdict)
        if not may_run and now_ms < self._permits_end_ms:
            return messages.ClaimAnswer(verdict=_VERDICT.UNAVAILABLE)
        if not may_run:
            # The caller is told `unknown`, so it must stay unknown when the
            # history has become complete.
            unknown = entry.Entry(
                order.team,
                order.digest,
                _STATE.UNKNOWN,
                now_ms + self._keep_ms,
            )
            self._entries.put(order.name, unknown)
            return messages.ClaimAnswer(verdict=_VERDICT.UNKNOWN)
        running = entry.Entry(
            order.team,
            order.digest,
            _STATE.RUNNING,
            self._running_until(now_ms),
            frozenset({question.attempt}),
            is_granted=True,
        )
        self._entries.put(order.name, running)
        return self._permit(now_ms)

    def _would_remember(self, order: messages.Order, now_ms: float) -> bool:
        """Tell whether a run of this order would be found here."""
        if order.issued is None:
            return now_ms >= self._complete_from_ms
        offset_ms = self._clocks.get(order.issued.term)
        if offset_ms is None:
            return False
        age_ms = now_ms + offset_ms - order.issued.birth_ms
        return age_ms <= self._horizon_ms

    def _permit(self, now_ms: float) -> messages.ClaimAnswer:
        return messages.ClaimAnswer(
            verdict=_VERDICT.RUN,
            lifetime_ms=horizon.PERMIT_MS,
            term=self.term,
            owner_now_ms=now_ms,
        )

    def _running_until(self, now_ms: float) -> float:
        return model.outstanding_until_ms(
            now_ms, horizon.PERMIT_MS + horizon.RUN_MS
        )

    def _memory_from(self, now_ms: float) -> float:
        return now_ms + horizon.memory_ms(self._horizon_ms)
