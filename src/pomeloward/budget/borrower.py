"""The tokens that a host has borrowed for its teams."""

import collections.abc
import dataclasses
import random

from pomeloward import model
from pomeloward.budget import fill
from pomeloward.budget import holding
from pomeloward.budget import messages
from pomeloward.budget import place
from pomeloward.budget import wallet

# Hosts fetch tokens for this much of recent demand. Longer strands more
# tokens when demand moves; shorter costs more messages.
FETCH_AHEAD_MS = 100.0
# Tokens that were not used for this long go back to their owner.
_RETURN_AFTER_MS = 120.0
# An owner that did not answer is not asked for this long: its loans may be
# lost on the way, and each attempt costs the caller a timeout.
_AVOID_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    source: place.Place
    asked_at_ms: float


class Borrower:
    """The host's side of rate limits.

    A token is spent only while its loan's permission is valid. A token that
    is given back or whose question timed out is never spent, whatever
    arrives later.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create an empty borrower.

        Numbers of questions start at random, so that those of a restarted
        host differ from those before.
        """
        self._next_number = rng.getrandbits(52)
        self._wallets: dict[model.TeamId, wallet.Wallet] = {}
        # Teams with loans, in a stable order; a host sees many more teams.
        self._borrowing: dict[model.TeamId, None] = {}
        self._questions: dict[int, _Question] = {}
        self._avoid_until_ms: dict[model.HostId | None, float] = {}

    def note(self, team: model.TeamId, now_ms: float) -> None:
        """Count a request towards the team's demand."""
        self._wallet(team).demand.note(now_ms)

    def spend(self, team: model.TeamId, now_ms: float) -> place.Place | None:
        """Spend a local token and return where it came from."""
        spent = self._wallet(team).spend(now_ms)
        return spent.source if spent else None

    def extra(self, team: model.TeamId, now_ms: float) -> int:
        """Return how many tokens to fetch ahead of demand.

        It is 0 while half of the aim is at hand, and for teams with less
        than one request in ``FETCH_AHEAD_MS``.
        """
        known = self._wallet(team)
        aim = int(known.demand.per_s(now_ms) * FETCH_AHEAD_MS / 1000)
        held = known.tokens(now_ms)
        return aim - held if 2 * held < aim else 0

    def retry_after_ms(self, source: place.Place, now_ms: float) -> float:
        """Return for how long a portion is known to be empty."""
        known = self._wallet(source.portion.team)
        return known.empty_until_ms.get(source.name, now_ms) - now_ms

    def is_reachable(self, source: place.Place, now_ms: float) -> bool:
        """Tell whether a portion's owner is known and has not timed out."""
        until_ms = self._avoid_until_ms.get(source.owner, 0.0)
        return source.owner is not None and now_ms >= until_ms

    def order(
        self, places: collections.abc.Iterable[place.Place], now_ms: float
    ) -> list[place.Place]:
        """Return places, nearest first, in the order in which to ask."""

        def preference(source: place.Place) -> float:
            known = self._wallet(source.portion.team).fills.get(source.name)
            if known is None:
                return 0.0
            return fill.preference(known.estimate(source.portion, now_ms))

        return sorted(places, key=preference)

    def ask(
        self, source: place.Place, need: int, now_ms: float
    ) -> messages.TakeTokens:
        """Make a question to the owner of a portion."""
        team = source.portion.team
        self._next_number += 1
        self._questions[self._next_number] = _Question(source, now_ms)
        return messages.TakeTokens(
            number=self._next_number,
            team=team,
            region=source.portion.region,
            portion=source.portion.index,
            need=need,
            extra=self.extra(team, now_ms),
            reports=self._wallet(team).reports(source.name, now_ms),
        )

    def on_tokens(self, answer: messages.Tokens, now_ms: float) -> int:
        """Take in an answer and return the tokens that it brought."""
        question = self._questions.pop(answer.number, None)
        if question is None or not answer.is_owner:
            return 0
        source = question.source
        known = self._wallet(source.portion.team)
        known.fills[source.name] = fill.Fill(answer.fill_percent, now_ms)
        if not answer.granted:
            known.empty_until_ms[source.name] = now_ms + answer.retry_after_ms
            return 0
        permission = model.Lease(question.asked_at_ms, answer.lifetime_ms)
        if not permission.is_valid(now_ms):
            return 0
        self._borrowing[source.portion.team] = None
        known.holdings.append(
            holding.Holding(answer.number, source, permission, answer.granted)
        )
        return answer.granted

    def on_timeout(self, number: int, now_ms: float) -> None:
        """Give up a question; a late answer to it is dropped."""
        question = self._questions.pop(number, None)
        if question is not None:
            owner = question.source.owner
            self._avoid_until_ms[owner] = now_ms + _AVOID_MS

    def cancel(self, number: int) -> None:
        """Forget a question whose caller has gone, if still open."""
        self._questions.pop(number, None)

    def report(
        self, source: place.Place, now_ms: float
    ) -> messages.ReportTokens | None:
        """Make a notice to the owner of a portion, if one is due."""
        portion = source.portion
        reports = self._wallet(portion.team).reports(source.name, now_ms)
        if not reports:
            return None
        return messages.ReportTokens(
            team=portion.team,
            region=portion.region,
            portion=portion.index,
            reports=reports,
        )

    def sweep(
        self, now_ms: float
    ) -> list[tuple[place.Place, messages.ReportTokens]]:
        """Give back idle tokens, drop lapsed loans, return the notices."""
        notices = []
        for team in list(self._borrowing):
            known = self._wallets[team]
            for source in known.give_back(now_ms, _RETURN_AFTER_MS):
                notice = self.report(source, now_ms)
                if notice:
                    notices.append((source, notice))
            known.prune(now_ms)
            if not known.holdings:
                del self._borrowing[team]
        return notices

    def forget(self, now_ms: float) -> None:
        """Forget teams without recent demand, and old timeouts."""
        self._avoid_until_ms = {
            owner: until_ms
            for owner, until_ms in self._avoid_until_ms.items()
            if until_ms > now_ms
        }
        for team, known in list(self._wallets.items()):
            if known.is_unused(now_ms):
                del self._wallets[team]

    def _wallet(self, team: model.TeamId) -> wallet.Wallet:
        if team not in self._wallets:
            self._wallets[team] = wallet.Wallet()
        return self._wallets[team]
