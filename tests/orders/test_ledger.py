"""State machine of owners, voters and hosts that run orders."""

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
from tests import seeds

_VOTERS = [f"v{number}" for number in range(7)]
_ELECTORATE = (tuple(_VOTERS),)
_VERDICT = messages.Verdict
# Orders whose beginnings and ends meet in few voters, and any other.
_ORDER_OF_VOTERS = strategies.one_of(
    strategies.sampled_from([_VOTERS, _VOTERS[::-1]]),
    strategies.permutations(_VOTERS),
)
_STEPS = [1, 200, 900, 11_800, 12_200, 75_000, 300_000, 800_000]


class _Run:
    """One attempt of an entry host."""

    def __init__(self, order, number, host, asked_ms):
        self.order = order
        self.number = number
        self.host = host
        self.started_ms = self.asked_ms = asked_ms
        self.answer = None
        self.granted_at = None
        self.acks = set()
        self.claim = None
        self.told_not_run = False


class OrderMachine(stateful.RuleBasedStateMachine):
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
            for host in _VOTERS
        }
        # The voters started long ago.
        self.voters = {voter: witness.Witness(-1e9) for voter in _VOTERS}
        self.epoch, self.owner, self.change = 1, "v0", 0
        self.ledger = ledger.Ledger(1, 0, -1e9)
        self.ledger.recover(recovery.Recovery(_ELECTORATE), self.now("v0"))
        self.reading = None
        self.orders, self.first_ms, self.number = [], {}, 0
        self.runs, self.ran, self.unknown_at = [], {}, {}
        for _ in range(2):
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
        self.add_order(messages.Issued(self.epoch, birth_ms))

    def add_order(self, issued):
        name = f"order-{len(self.orders)}".encode()
        self.orders.append(
            messages.Order("r/0", name, "team", b"body", issued, 0)
        )

    @stateful.rule(step=strategies.sampled_from(_STEPS))
    def pass_time(self, step):
        self.true_ms += step

    @stateful.rule(
        host=strategies.sampled_from(_VOTERS),
        issued=strategies.booleans(),
        order=_ORDER_OF_VOTERS,
        count=strategies.sampled_from([3, 3, 7]),
    )
    def run_order(self, host, issued, order, count):
        """Run a new order that some voters recorded."""
        if issued:
            self.issue()
        else:
            self.new_key()
        self.send_claim(0, host)
        self.receive_claim(-1, False)
        self.record(-1, order, count)
        self.dispatch(-1)

    @stateful.rule(
        host=strategies.sampled_from(_VOTERS),
        order=_ORDER_OF_VOTERS,
        crash=strategies.sampled_from([None, 4, 5]),
        reverse=strategies.booleans(),
        restarted=strategies.sampled_from([0, 0, 3]),
        first=strategies.booleans(),
        pause=strategies.sampled_from([0, 0, 2_000, 11_800, 13_000, 75_000]),
    )
    def run_order_late(
        self, host, order, crash, reverse, restarted, first, pause
    ):
        """Stall between claim and dispatch while another host repeats.

        The owner may crash in between, before or after the voters recorded
        the intent, and voters may restart.
        """
        self.new_key()
        self.send_claim(0, host)
        self.receive_claim(-1, False)
        late = len(self.runs) - 1
        if first:
            self.record(late, order, 3)
        if crash:
            read_order = order[::-1] if reverse else order
            self.crash_owner(host, read_order, crash, 0)
        for voter in order[:restarted]:
            self.restart_voter(voter)
        self.true_ms += pause
        if not first:
            self.record(late, order, 3)
        self.send_claim(0, host)
        self.dispatch(late)
        self.receive_claim(-1, False)
        self.record(-1, order, 3)
        self.dispatch(-1)

    @stateful.rule(
        host=strategies.sampled_from(_VOTERS), order=_ORDER_OF_VOTERS
    )
    def clear_twice(self, host, order):
        """Clear an attempt, run the next, and get the clearing again."""
        self.new_key()
        self.send_claim(0, host)
        self.receive_claim(-1, False)
        cleared = len(self.runs) - 1
        self.settle(cleared, {"owner"}, False)
        self.repeat(0, host, order, 0)
        self.settle(cleared, {"owner"}, False)
        self.repeat(0, host, order, 0)

    @stateful.rule(
        pick=strategies.integers(0, 3),
        host=strategies.sampled_from(_VOTERS),
        order=_ORDER_OF_VOTERS,
        pause=strategies.sampled_from([0, 0, 13_000, 800_000]),
    )
    def repeat(self, pick, host, order, pause):
        """Repeat an order from another host, as a caller would."""
        self.true_ms += pause
        before = len(self.runs)
        self.send_claim(pick, host)
        if len(self.runs) > before:
            self.receive_claim(-1, False)
            self.record(-1, order, 3)
            self.dispatch(-1)

    @stateful.rule(
        pick=strategies.integers(0, 5), host=strategies.sampled_from(_VOTERS)
    )
    def send_claim(self, pick, host):
        order = self.orders[-1 - pick % len(self.orders)]
        first_ms = self.first_ms.setdefault(order.name, self.true_ms)
        is_late = self.true_ms - first_ms > horizon.HORIZON_MS
        if order.issued is None and is_late:
            return
        self.number += 1
        run = _Run(order, self.number, host, self.now(host))
        self.runs.append(run)
        self.ask(run)

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
        window = model.Permission(run.started_ms, horizon.CLAIM_MS)
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
            permit = model.Permission(run.asked_ms, run.answer.lifetime_ms)
            run.claim = claim.Claim(None, permit, _settle)

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(
        at=strategies.integers(0, 1_000),
        order=_ORDER_OF_VOTERS,
        count=strategies.integers(0, 7),
    )
    def record(self, at, order, count):
        run = self.runs[at % len(self.runs)]
        if run.claim is None:
            return
        intent = messages.RecordIntent(
            order=run.order,
            attempt=run.number,
            epoch=run.answer.epoch,
            owner_now_ms=run.answer.owner_now_ms,
        )
        in_time = model.Permission(run.asked_ms, horizon.INTENT_MS)
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
        told=strategies.sets(strategies.sampled_from([*_VOTERS, "owner"])),
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

    @stateful.rule(voter=strategies.sampled_from(_VOTERS))
    def restart_voter(self, voter):
        self.voters[voter] = witness.Witness(self.now(voter))

    @stateful.rule(
        owner=strategies.sampled_from(_VOTERS),
        order=_ORDER_OF_VOTERS,
        count=strategies.sampled_from([2, 4, 5, 5, 6, 7]),
        restarted=strategies.sampled_from([0, 0, 1, 3]),
        hand_over=strategies.booleans(),
        pause=strategies.sampled_from([0, 13_000]),
    )
    def crash_and_repeat(
        self, owner, order, count, restarted, hand_over, pause
    ):
        """Crash the owner, and repeat the last orders at its successors."""
        self.crash_owner(owner, order, count, restarted)
        if hand_over:
            self.hand_over(owner, 1)
        self.true_ms += pause
        for pick in range(2):
            self.repeat(pick, owner, order, 0)

    def crash_owner(self, owner, order, count, restarted):
        """Lose the owner, perhaps voters too, and read some voters."""
        for voter in order[:restarted]:
            self.restart_voter(voter)
        self.lose_owner(owner)
        for voter in order[:count]:
            self.read(voter)
        self.end_reading()

    @stateful.rule(owner=strategies.sampled_from(_VOTERS))
    def lose_owner(self, owner):
        self.owner = owner
        self.epoch += 1
        self.change += 1
        self.ledger = ledger.Ledger(self.epoch, 0, self.now(owner))
        self.reading = recovery.Recovery(_ELECTORATE)

    @stateful.precondition(lambda self: self.reading)
    @stateful.rule(voter=strategies.sampled_from(_VOTERS))
    def read(self, voter):
        question = messages.ReadHistory(
            partition="r/0", epoch=self.epoch, after=0
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
        owner=strategies.sampled_from(_VOTERS),
        delay=strategies.sampled_from([1, 900]),
    )
    def hand_over(self, owner, delay):
        exported = self.ledger.export(self.now(self.owner))
        self.true_ms += delay
        self.owner = owner
        self.epoch += 1
        self.ledger = ledger.Ledger(self.epoch, 0, self.now(owner))
        self.ledger.begin(exported, self.now(owner))


async def _settle(outcome, answer):
    raise AssertionError("the machine reports outcomes itself")


def test_orders_run_at_most_once():
    """Guards against double runs, swapped answers and false `not_run`."""
    seeds.run_machine(OrderMachine, max_examples=300, step_count=30)
