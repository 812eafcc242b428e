"""Owners, voters and hosts that run orders, step by step."""

import random

from hypothesis import stateful
from hypothesis import strategies

from pomeloward import model
from pomeloward.orders import claim
from pomeloward.orders import horizon
from pomeloward.orders import ledger
from pomeloward.orders import messages
from pomeloward.orders import quorum
from pomeloward.orders import recordedanswer
from pomeloward.orders import recovery
from pomeloward.orders import witness
from tests.orders import run as attempts

VOTERS = [f"v{number}" for number in range(7)]
_ELECTORATE = (tuple(VOTERS),)
_VERDICT = messages.Verdict
# Orders whose beginnings and ends meet in few voters, and any other.
ORDER_OF_VOTERS = strategies.one_of(
    strategies.sampled_from([VOTERS, VOTERS[::-1]]),
    strategies.permutations(VOTERS),
)
_STEPS = [1, 200, 900, 11_800, 12_200, 75_000, 300_000, 800_000]


class OrderWorld(stateful.RuleBasedStateMachine):
    """Guards against running an order twice, and against false answers.

    Entry hosts, owners and voters have clocks with their own speeds and
    starting points. Every message is a step that may be lost, late, repeated
    or out of order.
    """

    @stateful.initialize(seed=strategies.integers(0, 10_000))
    def start(self, seed):
        rng = random.Random(seed)
        self.true_ms = 10_000_000.0
        self.clocks = {
            host: (rng.uniform(0.995, 1.005), rng.uniform(0, 1e6))
            for host in VOTERS
        }
        # The voters started long ago.
        self.voters = {voter: witness.Witness(-1e9) for voter in VOTERS}
        self.term, self.owner, self.change = messages.Term(1, 0), "v0", 0
        self.ledger = ledger.Ledger(self.term, 0, -1e9)
        self.ledger.recover(recovery.Recovery(_ELECTORATE), self.now("v0"))
        self.reading = None
        self.orders, self.first_ms, self.number = [], {}, 0
        self.terms = 0
        self.runs, self.ran, self.unknown_at = [], {}, {}
        self.new_key()

    def now(self, host):
        speed, start = self.clocks[host]
        return start + speed * self.true_ms

    @stateful.rule()
    def new_key(self):
        self.add_order(None)

    @stateful.rule()
    def issue(self):
        birth_ms = int(self.now(self.owner))
        self.add_order(messages.Issued(self.term, birth_ms))

    def add_order(self, issued):
        name = f"order-{len(self.orders)}".encode()
        self.orders.append(
            messages.Order("r/0", name, "team", b"body", issued, 0)
        )

    @stateful.rule(step=strategies.sampled_from(_STEPS))
    def pass_time(self, step):
        self.true_ms += step

    @stateful.rule(
        pick=strategies.integers(0, 5), host=strategies.sampled_from(VOTERS)
    )
    def send_claim(self, pick, host):
        order = self.orders[-1 - pick % len(self.orders)]
        first_ms = self.first_ms.setdefault(order.name, self.true_ms)
        is_late = self.true_ms - first_ms > horizon.HORIZON_MS
        if order.issued is None and is_late:
            return
        self.number += 1
        started = attempts.Run(order, self.number, host, self.now(host))
        self.runs.append(started)
        self.ask(started)

    def ask(self, run):
        """Have the owner answer; the answer may arrive late or never."""
        answer = self.ledger.claim(
            messages.ClaimOrder(order=run.order, attempt=run.number),
            self.now(self.owner),
        )
        if answer.verdict is _VERDICT.RUN:
            run.granted_at = self.change
        run.answer = answer
        if self.is_timely(run):
            self.check_answer(run.order, answer)

    def is_timely(self, run):
        """Tell whether the host, as its client does, still goes on."""
        window = model.Lease(run.started_ms, horizon.CLAIM_MS)
        return window.is_valid(self.now(run.host))

    def check_answer(self, order, answer):
        if answer.verdict is _VERDICT.UNKNOWN:
            self.unknown_at.setdefault(order.name, self.change)
        if answer.verdict is _VERDICT.RECORDED:
            assert answer.answer.body == order.name, "another key's answer"
        if answer.verdict in (_VERDICT.RUN, _VERDICT.FULL):
            assert order.name not in self.ran, "ran, but may run again"

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(
        at=strategies.integers(0, 1_000), repeat=strategies.booleans()
    )
    def receive_claim(self, at, repeat):
        run = self.runs[at % len(self.runs)]
        if repeat and run.claim is None:
            run.asked_ms = self.now(run.host)
            self.ask(run)
        if run.answer is None or run.claim is not None:
            return
        if not self.is_timely(run):
            return
        if run.answer.verdict is _VERDICT.RUN:
            permit = model.Lease(run.asked_ms, run.answer.lifetime_ms)
            run.claim = claim.Claim(None, permit, attempts.settle)

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(
        at=strategies.integers(0, 1_000),
        order=ORDER_OF_VOTERS,
        count=strategies.integers(0, 7),
    )
    def record(self, at, order, count):
        run = self.runs[at % len(self.runs)]
        if run.claim is None:
            return
        intent = messages.RecordIntent(
            order=run.order,
            attempt=run.number,
            term=run.answer.term,
            owner_now_ms=run.answer.owner_now_ms,
        )
        in_time = model.Lease(run.asked_ms, horizon.INTENT_MS)
        for voter in order[:count]:
            is_recorded = self.voters[voter].record(intent, self.now(voter))
            if is_recorded and in_time.is_valid(self.now(run.host)):
                run.acks.add(voter)

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(at=strategies.integers(0, 1_000))
    def dispatch(self, at):
        run = self.runs[at % len(self.runs)]
        if run.claim is None or run.number in self.ran.values():
            return
        if not quorum.has_written(_ELECTORATE, run.acks):
            return
        if not run.claim.is_valid(self.now(run.host)):
            return
        name = run.order.name
        assert not run.told_not_run, "told not_run, then ran"
        assert name not in self.ran, "ran twice"
        told = self.unknown_at.get(name)
        assert told is None or told < run.granted_at, "ran after `unknown`"
        self.ran[name] = run.number

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(
        at=strategies.integers(0, 1_000),
        told=strategies.sets(strategies.sampled_from([*VOTERS, "owner"])),
        abandon=strategies.booleans(),
    )
    def settle(self, at, told, abandon):
        run = self.runs[at % len(self.runs)]
        if run.claim is None:
            return
        has_run = self.ran.get(run.order.name) == run.number
        answer = None
        outcome = messages.Outcome.CLEARED
        if abandon:
            outcome = messages.Outcome.ABANDONED
        elif has_run:
            outcome = messages.Outcome.FINISHED
            answer = recordedanswer.RecordedAnswer(200, (), run.order.name)
        else:
            run.told_not_run = True
        # As ``Claim.clear`` and its siblings do.
        run.claim._permit = None
        report = messages.SettleOrder(
            order=run.order, attempt=run.number, outcome=outcome, answer=answer
        )
        for voter in told - {"owner"}:
            self.voters[voter].settle(report, self.now(voter))
        if "owner" in told:
            self.ledger.settle(report, self.now(self.owner))

    @stateful.rule(voter=strategies.sampled_from(VOTERS))
    def restart_voter(self, voter):
        self.voters[voter] = witness.Witness(self.now(voter))

    @stateful.rule(
        owner=strategies.sampled_from(VOTERS), grows=strategies.booleans()
    )
    def lose_owner(self, owner, grows=True):
        """Elect another owner; voters without memory reuse an epoch."""
        self.owner = owner
        self.change += 1
        self.terms += 1
        self.term = messages.Term(self.term.epoch + grows, self.terms)
        self.ledger = ledger.Ledger(self.term, 0, self.now(owner))
        self.reading = recovery.Recovery(_ELECTORATE)

    @stateful.precondition(lambda self: self.reading)
    @stateful.rule(voter=strategies.sampled_from(VOTERS))
    def read(self, voter):
        question = messages.ReadHistory(
            partition="r/0", term=self.term, after=0
        )
        part = self.voters[voter].read(question, self.now(voter))
        if part is not None:
            self.reading.add(voter, part, self.now(self.owner))

    @stateful.precondition(lambda self: self.reading)
    @stateful.rule()
    def end_reading(self):
        self.ledger.recover(self.reading, self.now(self.owner))
        self.reading = None

    @stateful.precondition(lambda self: not self.reading)
    @stateful.rule(
        owner=strategies.sampled_from(VOTERS),
        delay=strategies.sampled_from([1, 900]),
    )
    def hand_over(self, owner, delay):
        exported = self.ledger.export(self.now(self.owner))
        self.true_ms += delay
        self.owner = owner
        self.terms += 1
        self.term = messages.Term(self.term.epoch + 1, self.terms)
        self.ledger = ledger.Ledger(self.term, 0, self.now(owner))
        self.ledger.begin(exported, self.now(owner))
