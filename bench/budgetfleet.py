"""Forty hosts that share teams' rates, on a deterministic event loop."""

import collections
import dataclasses
import random

from bench import budgethost
from bench import eventloop
from bench import exactbucket
from pomeloward import budget
from pomeloward import catalog
from pomeloward import model
from pomeloward import peer
from pomeloward.budget import messages
from pomeloward.budget import place
from pomeloward.peer import wireformat

HOSTS, ZONES = 40, 4
# Rate per second and load as a part of the rate. The burst is one second of
# the rate, and at least 3.
TEAMS = {
    "large-1": (240.0, 0.8),
    "large-2": (160.0, 0.8),
    "large-3": (120.0, 0.9),
    "greedy": (40.0, 5.0),
    "beside": (40.0, 0.8),
    "small-1": (10.0, 0.8),
    "small-2": (5.0, 0.8),
    "few": (1.0, 0.5),
}
WARM_MS, LOSS_MS, END_MS = 10_000.0, 70_000.0, 130_000.0
# A lease and the candidacy after it.
TAKEOVER_MS = 3_500.0
MOVE_MS = 4_000.0
ASK_TIMEOUT_MS, SWEEP_MS = 100.0, 50.0
ONE_WAY_MS = (0.3, 1.5)


@dataclasses.dataclass
class Count:
    """Requests of one team in one phase that its rate admits."""

    within: int = 0
    refused: int = 0
    refused_static: int = 0
    accepted: int = 0


class Fleet:
    """One run: hosts, teams, demand, network and counts."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.loop = eventloop.Loop()
        self.counts: dict[tuple[str, str], Count] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.requests = 0
        self.overshoots = 0
        self._hosts = [
            budgethost.Host(number, number % ZONES, self, self._rng)
            for number in range(HOSTS)
        ]
        self._places: dict[str, list[place.Place]] = {}
        self._exact: dict[str, exactbucket.ExactBucket] = {}
        self._bound: dict[str, exactbucket.ExactBucket] = {}
        self._static: dict[str, list[exactbucket.ExactBucket]] = {}
        self._users: dict[str, list[budgethost.Host]] = {}
        for team, (rate, _) in TEAMS.items():
            self._add_team(team, rate, max(3.0, rate))

    def run(self) -> None:
        """Run to the end of the minute after the loss."""
        for host in self._hosts:
            self._sweep(host)
        self.loop.after(LOSS_MS, self._lose_host)
        self.loop.run(END_MS)

    def near(
        self, host: budgethost.Host, team: model.TeamId
    ) -> list[place.Place]:
        """Return a team's portions, nearest first."""

        def distance(source: place.Place) -> tuple[bool, bool, int]:
            owner = self._owner(source)
            return (
                owner is not host,
                owner.zone != host.zone,
                (owner.number + host.number) % 7,
            )

        return sorted(self._places[team], key=distance)

    def ask(
        self,
        host: budgethost.Host,
        source: place.Place,
        question: messages.TakeTokens,
        on_answer: budgethost.OnAnswer,
    ) -> None:
        """Ask an owner; the answer is None after a timeout."""
        owner = self._owner(source)
        ended: list[bool] = []

        def once(answer: messages.Tokens | None) -> None:
            if not ended:
                ended.append(True)
                on_answer(answer)

        def lend() -> None:
            answer = owner.lender.lend(
                source.partition,
                source.portion,
                host.id,
                question,
                self.loop.now_ms,
            )
            self._send(owner, host, answer, lambda: once(answer))

        self.loop.after(ASK_TIMEOUT_MS, lambda: once(None))
        self._send(host, owner, question, lend)

    def tell(
        self,
        host: budgethost.Host,
        source: place.Place,
        notice: messages.ReportTokens,
    ) -> None:
        """Tell the present owner."""
        owner = next(
            self._owner(now)
            for now in self._places[source.portion.team]
            if now.partition == source.partition
        )

        def report() -> None:
            owner.lender.report(
                source.partition, host.id, notice, self.loop.now_ms
            )

        self._send(host, owner, notice, report)

    def _send(
        self,
        sender: budgethost.Host,
        receiver: budgethost.Host,
        content: peer.Message,
        arrive: eventloop.Action,
    ) -> None:
        if sender is receiver:
            arrive()
            return
        self.sent["messages"] += 1
        self.sent["bytes"] += len(
            wireformat.encode_envelope(
                wireformat.EnvelopeKind.REQUEST, 1, content
            )
        )

        def deliver() -> None:
            if receiver.is_alive:
                arrive()

        if sender.is_alive:
            self.loop.after(self._rng.uniform(*ONE_WAY_MS), deliver)

    def _owner(self, source: place.Place) -> budgethost.Host:
        assert source.owner is not None
        return self._hosts[int(source.owner[1:])]

    def _add_team(self, team: str, rate: float, burst: float) -> None:
        self._exact[team] = exactbucket.ExactBucket(rate, burst)
        # Rounding of sums must not count as an overshoot.
        self._bound[team] = exactbucket.ExactBucket(rate, burst + 1e-6)
        self._static[team] = [
            exactbucket.ExactBucket(rate / HOSTS, max(1.0, burst / HOSTS))
            for _ in self._hosts
        ]
        region = catalog.Region(model.RegionId("r"), 64)
        view = catalog.Configuration.of_records(
            model.Version(1),
            [region, catalog.Team(model.TeamId(team), rate, burst)],
        )
        first_zone = self._rng.randrange(ZONES)
        self._places[team] = []
        for portion in budget.portions_of(view, model.TeamId(team)):
            zone = (first_zone + portion.index) % ZONES
            owner = self._hosts[self._rng.randrange(zone, HOSTS, ZONES)]
            partition = model.PartitionId(f"{team}/{portion.index}")
            owner.lender.acquire(partition, None, 0.0)
            self._places[team].append(
                place.Place(portion, partition, owner.id)
            )
        self.loop.after(0.0, lambda: self._move(team))
        self.loop.after(WARM_MS / 2, lambda: self._arrive(team))

    def _move(self, team: str) -> None:
        """Give the team's demand to other hosts."""
        self._users[team] = self._rng.sample(
            self._hosts, self._rng.choice([2, 5, 20])
        )
        self.loop.after(MOVE_MS, lambda: self._move(team))

    def _arrive(self, team: str) -> None:
        rate, load = TEAMS[team]
        gap_ms = self._rng.expovariate(rate * load) * 1000
        self.loop.after(gap_ms, lambda: self._arrive(team))
        host = self._rng.choice(self._users[team])
        while not host.is_alive:
            host = self._rng.choice(self._hosts)
        now_ms = self.loop.now_ms
        count = Count()
        if now_ms >= WARM_MS:
            phase = "steady" if now_ms < LOSS_MS else "loss"
            count = self.counts.setdefault((team, phase), count)
        within = self._exact[team].take(now_ms)
        static = self._static[team][host.number]
        count.within += within
        count.refused_static += not static.take(now_ms) and within
        self.requests += 1

        def on_end(is_taken: bool) -> None:
            count.refused += within and not is_taken
            count.accepted += is_taken
            if is_taken and not self._bound[team].take(self.loop.now_ms):
                self.overshoots += 1

        host.take(model.TeamId(team), on_end)

    def _sweep(self, host: budgethost.Host) -> None:
        if host.is_alive:
            host.sweep()
            self.loop.after(SWEEP_MS, lambda: self._sweep(host))

    def _lose_host(self) -> None:
        """Lose the host that owns most portions."""
        owners = collections.Counter(
            source.owner for found in self._places.values() for source in found
        )
        lost = owners.most_common(1)[0][0] or model.HostId("")
        self._hosts[int(lost[1:])].is_alive = False
        self.loop.after(TAKEOVER_MS, lambda: self._take_over(lost))

    def _take_over(self, lost: model.HostId) -> None:
        live = [host for host in self._hosts if host.is_alive]
        for found in self._places.values():
            for index, source in enumerate(found):
                if source.owner == lost:
                    heir = self._rng.choice(live)
                    heir.lender.acquire(
                        source.partition, None, self.loop.now_ms
                    )
                    found[index] = dataclasses.replace(source, owner=heir.id)
