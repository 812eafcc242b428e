"""What a successor learns from voters after a crash."""

from pomeloward import model
from pomeloward.orders import entry
from pomeloward.orders import messages
from pomeloward.orders import quorum

_Attempts = dict[int, messages.IntentState]


class Recovery:
    """Joins the memories of voters into the entries of a ledger."""

    def __init__(self, electorate: messages.Electorate) -> None:
        """Begin with no memory read."""
        self._electorate = electorate
        self._orders: dict[bytes, _Attempts] = {}
        self._complete: set[model.HostId] = set()
        self._clocks: dict[messages.Term, float] = {}

    @property
    def is_complete(self) -> bool:
        """Whether no intent of the horizon can be missing."""
        return quorum.has_read(self._electorate, self._complete)

    def add(
        self, voter: model.HostId, part: messages.History, now_ms: float
    ) -> None:
        """Take in a part of a voter's memory."""
        for intent in part.intents:
            attempts = self._orders.setdefault(intent.order.name, {})
            known = attempts.get(intent.attempt)
            if known is None or _rank(intent) > _rank(known):
                attempts[intent.attempt] = intent
        for clock in part.clocks:
            # Each voter knows a lower bound of the old owner's clock.
            offset_ms = clock.now_ms - now_ms
            known_ms = self._clocks.get(clock.term, offset_ms)
            self._clocks[clock.term] = max(known_ms, offset_ms)
        if part.is_end and part.is_complete:
            self._complete.add(voter)

    def clocks(self) -> dict[messages.Term, float]:
        """Return by how much old owners' clocks are ahead of this one's."""
        return dict(self._clocks) if self.is_complete else {}

    def entries(
        self, running_until_ms: float, keep_until_ms: float
    ) -> dict[bytes, entry.Entry]:
        """Return the orders that may have run."""
        found = {}
        for name, attempts in self._orders.items():
            joined = _join(attempts, running_until_ms, keep_until_ms)
            if joined is not None:
                found[name] = joined
        return found


def _rank(intent: messages.IntentState) -> tuple[bool, bool]:
    return intent.outcome is not None, intent.answer is not None


def _join(
    attempts: _Attempts, running_until_ms: float, keep_until_ms: float
) -> entry.Entry | None:
    """Join the attempts at one order.

    All but the last were cleared, though not every voter was told. An
    attempt that finished is therefore the one that ran.
    """
    live = [
        intent
        for intent in attempts.values()
        if intent.outcome is not messages.Outcome.CLEARED
    ]
    if not live:
        return None
    settled = max(live, key=_rank)
    order = settled.order
    if settled.outcome is None:
        return entry.Entry(
            order.team,
            order.digest,
            entry.EntryState.RUNNING,
            running_until_ms,
            frozenset(intent.attempt for intent in live),
        )
    state = entry.EntryState.UNKNOWN
    if settled.answer is not None:
        state = entry.EntryState.RECORDED
    return entry.Entry(
        order.team, order.digest, state, keep_until_ms, answer=settled.answer
    )
