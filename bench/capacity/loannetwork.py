"""One team's hosts that borrow tokens from the owners of its portions."""

import collections
import collections.abc
import contextlib
import random
import time

from bench import budgethost
from bench import eventloop
from bench.capacity import framing
from bench.capacity import size
from pomeloward import budget
from pomeloward import catalog
from pomeloward import model
from pomeloward import peer
from pomeloward.budget import messages
from pomeloward.budget import place

_TEAM = model.TeamId("team-31999")
REGION = model.RegionId("region-0")
_ONE_WAY_MS = 1.0
SWEEP_MS = 50.0


class Network:
    """One team's hosts; the first ones own its portions."""

    def __init__(self, users: int, rate_per_s: float, seed: int) -> None:
        self.loop = eventloop.Loop()
        self.sent: collections.Counter[str] = collections.Counter()
        self.requests = 0
        self.spent_s = 0.0
        self.refused = 0
        self._depth = 0
        self._rng = random.Random(seed)
        self._rate_per_s = rate_per_s
        regions = [
            catalog.Region(model.RegionId(f"region-{n}"), 640, 1 / 3)
            for n in range(size.REGIONS)
        ]
        team = catalog.Team(_TEAM, 12.0, 50.0)
        view = catalog.Configuration.of_records(
            model.Version(1), [*regions, team]
        )
        portions = [
            each
            for each in budget.portions_of(view, _TEAM)
            if each.region == REGION
        ]
        count = max(users, len(portions))
        self._hosts = [
            budgethost.Host(number, number % 3, self, self._rng)
            for number in range(count)
        ]
        self._users = self._hosts[:users]
        self._places = []
        for portion, owner in zip(portions, self._hosts, strict=False):
            partition = model.PartitionId(f"{REGION}/{portion.index}")
            owner.lender.acquire(partition, None, 0.0)
            self._places.append(place.Place(portion, partition, owner.id))
        for host in self._hosts:
            self._sweep(host)
        # New owners refill first.
        self.loop.after(60_000.0, self._arrive)

    def run(self, requests: int) -> None:
        """Run about this many requests."""
        time_ms = 60_000.0 + requests / self._rate_per_s * 1_000
        self.loop.run(time_ms)

    def near(
        self, host: budgethost.Host, team: model.TeamId
    ) -> list[place.Place]:
        """Return the portions, the host's own first."""
        return sorted(self._places, key=lambda at: at.owner != host.id)

    def ask(
        self,
        host: budgethost.Host,
        source: place.Place,
        question: messages.TakeTokens,
        on_answer: budgethost.OnAnswer,
    ) -> None:
        """Ask an owner; no message is lost."""
        owner = self._owner(source)
        if owner is host:
            on_answer(self._lend(owner, host, source, question))
            return
        self._count(question, framing.ask_bytes(question))

        def arrive() -> None:
            with self._timed():
                answer = self._lend(owner, host, source, question)
            self._count(answer, framing.answer_bytes(answer))
            self.loop.after(_ONE_WAY_MS, lambda: back(answer))

        def back(answer: messages.Tokens) -> None:
            with self._timed():
                on_answer(answer)

        self.loop.after(_ONE_WAY_MS, arrive)

    def tell(
        self,
        host: budgethost.Host,
        source: place.Place,
        notice: messages.ReportTokens,
    ) -> None:
        """Tell an owner."""
        owner = self._owner(source)

        def arrive() -> None:
            with self._timed():
                owner.lender.report(
                    source.partition, host.id, notice, self.loop.now_ms
                )

        if owner is host:
            arrive()
            return
        self._count(notice, framing.tell_bytes(notice))
        self.loop.after(_ONE_WAY_MS, arrive)

    @contextlib.contextmanager
    def _timed(self) -> collections.abc.Iterator[None]:
        """Add the time of a decision, counted once where they nest."""
        self._depth += 1
        started = time.process_time()
        try:
            yield
        finally:
            self._depth -= 1
            if not self._depth:
                self.spent_s += time.process_time() - started

    def _lend(
        self,
        owner: budgethost.Host,
        host: budgethost.Host,
        source: place.Place,
        question: messages.TakeTokens,
    ) -> messages.Tokens:
        return owner.lender.lend(
            source.partition,
            source.portion,
            host.id,
            question,
            self.loop.now_ms,
        )

    def _owner(self, source: place.Place) -> budgethost.Host:
        assert source.owner is not None
        return self._hosts[int(source.owner[1:])]

    def _count(self, content: peer.Message, total: int) -> None:
        self.sent["messages"] += 1
        self.sent["bytes"] += total
        self.sent[type(content).__name__] += 1

    def _sweep(self, host: budgethost.Host) -> None:
        host.sweep()
        self.loop.after(SWEEP_MS, lambda: self._sweep(host))

    def _arrive(self) -> None:
        gap_ms = self._rng.expovariate(self._rate_per_s) * 1_000
        self.loop.after(gap_ms, self._arrive)
        self.requests += 1
        user = self._rng.choice(self._users)
        with self._timed():
            user.take(_TEAM, self._end)

    def _end(self, is_taken: bool) -> None:
        self.refused += not is_taken
