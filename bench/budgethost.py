"""A host of the experiment on rates: the order of calls of its client."""

import collections.abc
import random
import typing

from bench import eventloop
from pomeloward import budget
from pomeloward import model
from pomeloward.budget import messages
from pomeloward.budget import place
from pomeloward.budget import search

OnAnswer = collections.abc.Callable[[messages.Tokens | None], None]
OnEnd = collections.abc.Callable[[bool], None]


class Network(typing.Protocol):
    """What a host needs of the fleet."""

    loop: eventloop.Loop

    def near(self, host: "Host", team: model.TeamId) -> list[place.Place]:
        """Return a team's portions, nearest first."""

    def ask(
        self,
        host: "Host",
        source: place.Place,
        question: messages.TakeTokens,
        on_answer: OnAnswer,
    ) -> None:
        """Ask an owner; the answer is None after a timeout."""

    def tell(
        self, host: "Host", source: place.Place, notice: messages.ReportTokens
    ) -> None:
        """Tell the present owner."""


class Host:
    """Takes tokens as ``budget.BudgetClient`` does, without tasks."""

    def __init__(
        self, number: int, zone: int, network: Network, rng: random.Random
    ) -> None:
        self.number = number
        self.id = model.HostId(f"h{number}")
        self.zone = zone
        self.is_alive = True
        self.lender = budget.Lender()
        self._tokens = budget.Borrower(rng)
        self._network = network
        self._waiting: dict[str, list[eventloop.Action]] = {}
        self._fetching: set[str] = set()

    def take(self, team: model.TeamId, on_end: OnEnd) -> None:
        """Take a token; ``on_end`` is told whether there was one."""
        self._tokens.note(team, self._now_ms())
        self._take(team, on_end, 0)

    def sweep(self) -> None:
        """Return idle tokens."""
        for source, notice in self._tokens.sweep(self._now_ms()):
            self._network.tell(self, source, notice)

    def _now_ms(self) -> float:
        return self._network.loop.now_ms

    def _take(self, team: model.TeamId, on_end: OnEnd, searches: int) -> None:
        if self._spend(team):
            self._fetch_ahead(team)
            on_end(True)
        elif searches == 2:
            on_end(False)
        elif team in self._waiting:
            self._waiting[team].append(
                lambda: self._take(team, on_end, searches + 1)
            )
        else:
            self._waiting[team] = [lambda: self._take(team, on_end, 2)]
            places = self._places(team)
            self._step(team, search.Search(self._tokens, places))

    def _places(self, team: model.TeamId) -> list[place.Place]:
        near = self._network.near(self, team)
        return self._tokens.order(near, self._now_ms())

    def _spend(self, team: model.TeamId) -> bool:
        source = self._tokens.spend(team, self._now_ms())
        if source is None:
            return False
        if source.is_tight or source.owner == self.id:
            notice = self._tokens.report(source, self._now_ms())
            if notice is not None:
                self._network.tell(self, source, notice)
        return True

    def _step(self, team: model.TeamId, running: search.Search) -> None:
        need = len(self._waiting[team])
        question = running.next_question(need, self._now_ms())
        if question is None:
            for wake in self._waiting.pop(team):
                wake()
            return
        assert running.source is not None

        def on_answer(answer: messages.Tokens | None) -> None:
            if answer is None:
                running.on_timeout(self._now_ms())
            else:
                running.on_tokens(answer, self._now_ms())
            self._step(team, running)

        self._network.ask(self, running.source, question, on_answer)

    def _fetch_ahead(self, team: model.TeamId) -> None:
        now_ms = self._now_ms()
        if team in self._fetching or not self._tokens.extra(team, now_ms):
            return
        for source in self._places(team):
            wait_ms = self._tokens.retry_after_ms(source, now_ms)
            if wait_ms <= 0 and self._tokens.is_reachable(source, now_ms):
                self._fetch(team, source)
                return

    def _fetch(self, team: model.TeamId, source: place.Place) -> None:
        self._fetching.add(team)
        question = self._tokens.ask(source, 0, self._now_ms())

        def on_answer(answer: messages.Tokens | None) -> None:
            self._fetching.discard(team)
            if answer is None:
                self._tokens.on_timeout(question.number, self._now_ms())
            else:
                self._tokens.on_tokens(answer, self._now_ms())

        self._network.ask(self, source, question, on_answer)
