"""A voter's memory of intents."""

import collections
import dataclasses

from pomeloward import model
from pomeloward.orders import horizon
from pomeloward.orders import messages

# Intents of one team in one partition. With 64 partitions a team can place
# 200 orders/s for the whole horizon. A full memory refuses; it never evicts.
MAX_INTENTS = 2_000
# Larger answers are kept by the owner only.
MAX_ANSWER_BYTES = 4_096
_PART_INTENTS = 100

_Name = tuple[bytes, int]


@dataclasses.dataclass(slots=True)
class _Intent:
    sequence: int
    content: messages.RecordIntent
    received_ms: float
    outcome: messages.SettleOrder | None = None


class _Memory:
    """Intents of one partition, oldest first."""

    def __init__(self) -> None:
        self.sealed = messages.Term(model.Epoch(0), 0)
        self.intents: dict[_Name, _Intent] = {}
        self.counts: collections.Counter[model.TeamId] = collections.Counter()
        self.clocks: dict[messages.Term, tuple[float, float]] = {}
        self.last = 0


class Witness:
    """Remembers which orders may have run, for owners to come.

    A new owner reads the memory under its term. From then on intents of
    earlier terms are refused, so none can be missing in what it read.
    Times are milliseconds of the voter's clock.
    """

    def __init__(
        self, started_ms: float, horizon_ms: float = horizon.HORIZON_MS
    ) -> None:
        """Create an empty memory at the start of a process."""
        self._started_ms = started_ms
        self._memory_ms = horizon.memory_ms(horizon_ms)
        self._retention_ms = horizon.retention_ms(horizon_ms)
        self._memories: dict[model.PartitionId, _Memory] = {}

    def is_complete(self, now_ms: float) -> bool:
        """Tell whether every intent of the horizon would be remembered."""
        return now_ms - self._started_ms >= self._memory_ms

    def record(self, intent: messages.RecordIntent, now_ms: float) -> bool:
        """Remember an intent; false means it must not run on this word."""
        silent_until_ms = model.outstanding_until_ms(
            self._started_ms, horizon.INTENT_MS
        )
        if now_ms < silent_until_ms:
            return False
        memory = self._memory(intent.order.partition, now_ms)
        name = (intent.order.name, intent.attempt)
        if _is_before(intent.term, memory.sealed):
            return False
        if name in memory.intents:
            return True
        team = intent.order.team
        if memory.counts[team] >= MAX_INTENTS:
            return False
        memory.last += 1
        memory.counts[team] += 1
        memory.intents[name] = _Intent(memory.last, intent, now_ms)
        self._note_clock(memory, intent, now_ms)
        return True

    def settle(self, outcome: messages.SettleOrder, now_ms: float) -> None:
        """Remember the outcome of an intent; the first one stays."""
        memory = self._memory(outcome.order.partition, now_ms)
        found = memory.intents.get((outcome.order.name, outcome.attempt))
        if found is None or found.outcome is not None:
            return
        answer = outcome.answer
        if answer is not None and answer.size_bytes > MAX_ANSWER_BYTES:
            answer = None
        found.outcome = messages.SettleOrder(
            order=outcome.order,
            attempt=outcome.attempt,
            outcome=outcome.outcome,
            answer=answer,
        )

    def read(
        self, question: messages.ReadHistory, now_ms: float
    ) -> messages.History | None:
        """Answer a new owner; None if a later one has read before."""
        memory = self._memory(question.partition, now_ms)
        if _is_before(question.term, memory.sealed):
            return None
        memory.sealed = question.term
        found = [
            intent
            for intent in memory.intents.values()
            if intent.sequence > question.after
        ]
        part = found[:_PART_INTENTS]
        return messages.History(
            is_complete=self.is_complete(now_ms),
            intents=tuple(_state(intent) for intent in part),
            clocks=tuple(
                messages.OwnerClock(term, owner_ms + now_ms - received_ms)
                for term, (owner_ms, received_ms) in memory.clocks.items()
            ),
            last=part[-1].sequence if part else question.after,
            is_end=len(part) == len(found),
        )

    def _memory(self, partition: model.PartitionId, now_ms: float) -> _Memory:
        memory = self._memories.setdefault(partition, _Memory())
        for name, intent in list(memory.intents.items()):
            if now_ms - intent.received_ms < self._retention_ms:
                break
            memory.counts[intent.content.order.team] -= 1
            del memory.intents[name]
        return memory

    def _note_clock(
        self, memory: _Memory, intent: messages.RecordIntent, now_ms: float
    ) -> None:
        known = memory.clocks.get(intent.term)
        if known is None or known[0] < intent.owner_now_ms:
            memory.clocks[intent.term] = (intent.owner_now_ms, now_ms)
        for term, (_, received_ms) in list(memory.clocks.items()):
            if now_ms - received_ms >= self._retention_ms:
                del memory.clocks[term]


def _is_before(term: messages.Term, sealed: messages.Term) -> bool:
    """Tell whether a term is not the one that read last, nor a later one."""
    return term.epoch < sealed.epoch or (
        term.epoch == sealed.epoch and term != sealed
    )


def _state(intent: _Intent) -> messages.IntentState:
    outcome = intent.outcome
    return messages.IntentState(
        intent.content.order,
        intent.content.attempt,
        outcome.outcome if outcome else None,
        outcome.answer if outcome else None,
    )
