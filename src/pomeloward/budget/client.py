"""Takes tokens for requests, from local loans or from owners."""

import random

import anyio
import anyio.abc
import expression

from pomeloward import model
from pomeloward import peer
from pomeloward.budget import borrower
from pomeloward.budget import directory
from pomeloward.budget import messages
from pomeloward.budget import place
from pomeloward.budget import search
from pomeloward.budget import shell

# An owner answers within a few milliseconds. Half of a loan's lifetime is
# left after the longest wait.
_ASK_TIMEOUT_MS = 100.0
_SWEEP_MS = 50.0
_SWEEPS_TO_FORGET = 100


class _Shared:
    """A search that several requests of a team wait for.

    It stays incomplete where the request that ran it was cancelled.
    """

    def __init__(self, found: search.Search) -> None:
        self.search = found
        self.done = anyio.Event()
        self.is_complete = False


class BudgetClient:
    """Decides for this host whether a request is within its team's rate."""

    def __init__(
        self,
        host: model.HostId,
        peers: peer.Peers,
        lending: shell.LenderShell,
        places: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Create a client; ``run`` fetches ahead and returns idle tokens."""
        self._host = host
        self._peers = peers
        self._lending = lending
        self._places = places
        self._tokens = borrower.Borrower(rng)
        self._searches: dict[model.TeamId, _Shared] = {}
        self._waiting: dict[model.TeamId, int] = {}
        self._fetching: set[model.TeamId] = set()
        self._group: anyio.abc.TaskGroup | None = None

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Fetch ahead and return idle tokens until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            task_status.started()
            while True:
                for _ in range(_SWEEPS_TO_FORGET):
                    await anyio.sleep(_SWEEP_MS / 1000)
                    for source, notice in self._tokens.sweep(_now_ms()):
                        self._tell(source, notice)
                self._tokens.forget(_now_ms())

    async def take(
        self, team: model.TeamId
    ) -> expression.Result[None, model.Refusal]:
        """Take one token of a team for one request.

        The refusal is ``RATE_EXCEEDED`` when every portion answered that it
        is empty, and ``BUDGET_UNAVAILABLE`` when one could not be asked.
        """
        self._tokens.note(team, _now_ms())
        if self._spend(team):
            self._fetch_ahead(team)
            return expression.Ok(None)
        self._waiting[team] = self._waiting.get(team, 0) + 1
        try:
            return await self._search(team)
        finally:
            self._waiting[team] -= 1
            if not self._waiting[team]:
                del self._waiting[team]

    async def _search(
        self, team: model.TeamId
    ) -> expression.Result[None, model.Refusal]:
        # A search that began before this request may have asked a portion
        # too early; a complete one that began after it decides.
        is_decisive = False
        while True:
            running = self._searches.get(team)
            if running is None:
                is_decisive = True
                running = await self._run_search(team)
            else:
                await running.done.wait()
            if self._spend(team):
                return expression.Ok(None)
            if is_decisive and running.is_complete:
                return expression.Error(running.search.refusal())
            is_decisive = True

    async def _run_search(self, team: model.TeamId) -> _Shared:
        places = self._ordered_places(team)
        shared = _Shared(search.Search(self._tokens, places))
        self._searches[team] = shared
        try:
            while question := shared.search.next_question(
                self._waiting.get(team, 1), _now_ms()
            ):
                assert shared.search.source is not None
                answer = await self._ask(shared.search.source, question)
                if answer is None:
                    shared.search.on_timeout(_now_ms())
                else:
                    shared.search.on_tokens(answer, _now_ms())
            shared.is_complete = True
        finally:
            shared.search.cancel()
            del self._searches[team]
            shared.done.set()
        return shared

    async def _ask(
        self, source: place.Place, question: messages.TakeTokens
    ) -> messages.Tokens | None:
        if source.owner == self._host:
            return self._lending.answer_locally(
                self._host, source, question, _now_ms()
            )
        assert source.owner is not None
        try:
            answer = await self._peers.request(
                source.owner, question, _ASK_TIMEOUT_MS
            )
        except model.PeerUnavailable:
            return None
        return answer if isinstance(answer, messages.Tokens) else None

    def _ordered_places(self, team: model.TeamId) -> list[place.Place]:
        places = self._places.places(team, _now_ms())
        return self._tokens.order(places, _now_ms())

    def _spend(self, team: model.TeamId) -> bool:
        source = self._tokens.spend(team, _now_ms())
        if source is None:
            return False
        if source.is_tight or source.owner == self._host:
            notice = self._tokens.report(source, _now_ms())
            if notice is not None:
                self._tell(source, notice)
        return True

    def _tell(
        self, source: place.Place, notice: messages.ReportTokens
    ) -> None:
        owner = self._places.owner_of(source, _now_ms())
        if owner == self._host:
            self._lending.on_report(self._host, notice, _now_ms())
        elif owner is not None:
            self._peers.notify(owner, notice)

    def _fetch_ahead(self, team: model.TeamId) -> None:
        if self._group is None or team in self._fetching:
            return
        if not self._tokens.extra(team, _now_ms()):
            return
        for source in self._ordered_places(team):
            wait_ms = self._tokens.retry_after_ms(source, _now_ms())
            if self._tokens.is_reachable(source, _now_ms()) and wait_ms <= 0:
                self._fetching.add(team)
                self._group.start_soon(self._fetch, source)
                return

    async def _fetch(self, source: place.Place) -> None:
        question = self._tokens.ask(source, 0, _now_ms())
        try:
            answer = await self._ask(source, question)
            if answer is None:
                self._tokens.on_timeout(question.number, _now_ms())
            else:
                self._tokens.on_tokens(answer, _now_ms())
        finally:
            self._tokens.cancel(question.number)
            self._fetching.discard(source.portion.team)


def _now_ms() -> float:
    return anyio.current_time() * 1000
