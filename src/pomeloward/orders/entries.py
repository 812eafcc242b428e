"""The entries of a ledger, within bounds."""

import collections
import collections.abc

from pomeloward import model
from pomeloward.orders import entry
from pomeloward.orders import recordedanswer

# Orders of one team in one partition; see ``witness.MAX_INTENTS``. No entry
# is evicted; further orders are refused.
MAX_ENTRIES = 2_000
# Recorded answers of one team in one partition. The oldest are dropped; a
# repeat of such an order is told `unknown`.
MAX_ANSWERS_BYTES = 1_048_576

_STATE = entry.EntryState


class Entries:
    """Entries by name, each with the time of its next change."""

    def __init__(self, keep_ms: float) -> None:
        """Create an empty store that keeps settled orders for a time."""
        self._keep_ms = keep_ms
        self._entries: dict[bytes, entry.Entry] = {}
        self._counts: collections.Counter[model.TeamId] = collections.Counter()
        # Names of recorded answers by team, oldest first.
        self._answers: dict[model.TeamId, list[entry.Entry]] = {}

    def items(self) -> collections.abc.ItemsView[bytes, entry.Entry]:
        """Return all entries with their names."""
        return self._entries.items()

    def is_full(self, team: model.TeamId) -> bool:
        """Tell whether a team has as many entries as it may."""
        return self._counts[team] >= MAX_ENTRIES

    def find(self, name: bytes, now_ms: float) -> entry.Entry | None:
        """Return an entry in its present state."""
        found = self._entries.get(name)
        if found is None or now_ms < found.until_ms:
            return found
        if found.state is not _STATE.RUNNING:
            self.drop(name)
            return None
        self.end(found, None, now_ms)
        return found

    def put(self, name: bytes, added: entry.Entry) -> None:
        """Add an entry under a new name."""
        self._entries[name] = added
        self._counts[added.team] += 1
        if added.answer is not None:
            self._limit_answers(added)

    def drop(self, name: bytes) -> None:
        """Remove an entry."""
        dropped = self._entries.pop(name)
        self._counts[dropped.team] -= 1
        dropped.answer = None

    def end(
        self,
        found: entry.Entry,
        answer: recordedanswer.RecordedAnswer | None,
        now_ms: float,
    ) -> None:
        """End a running entry; without an answer it stays unknown."""
        found.until_ms = now_ms + self._keep_ms
        found.state = _STATE.UNKNOWN
        limit = recordedanswer.MAX_ANSWER_BYTES
        if answer is not None and answer.size_bytes <= limit:
            found.state = _STATE.RECORDED
            found.answer = answer
            self._limit_answers(found)

    def prune(self, now_ms: float) -> None:
        """Forget orders whose time is over."""
        for name in list(self._entries):
            self.find(name, now_ms)

    def _limit_answers(self, added: entry.Entry) -> None:
        kept = self._answers.setdefault(added.team, [])
        kept.append(added)
        kept[:] = [other for other in kept if other.answer is not None]
        total = sum(other.answer.size_bytes for other in kept if other.answer)
        for other in kept:
            if total <= MAX_ANSWERS_BYTES or other.answer is None:
                break
            total -= other.answer.size_bytes
            other.answer = None
            other.state = _STATE.UNKNOWN
