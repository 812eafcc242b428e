"""State machine of lenders and borrowers under faults."""

import random

from hypothesis import stateful
from hypothesis import strategies

from pomeloward.budget import borrower
from pomeloward.budget import lender
from pomeloward.budget import loan
from pomeloward.budget import messages
from pomeloward.budget import place
from pomeloward.budget import portion
from tests import seeds

_HOSTS = ["a", "b", "c"]
_SPEED = strategies.floats(0.995, 1.005)
_LAPSE_MS = loan.LOAN_LIFETIME_MS * 1.02


class _Bound:
    """A full bucket in true time that every accepted request drains."""

    def __init__(self, rate, burst, from_ms):
        self.rate, self.burst, self.level = rate, burst, burst
        self.at_ms = from_ms

    def accept(self, now_ms):
        if now_ms < self.at_ms:
            return
        # Time is that of the owners' clocks, which may run 0.5% fast here.
        minted = self.rate * 1.005 * (now_ms - self.at_ms) / 1000
        self.level = min(self.burst, self.level + minted) - 1
        self.at_ms = now_ms
        assert self.level >= -1e-6, "burst + rate x time exceeded"

    def widen(self, rate, burst):
        self.rate = max(self.rate, rate)
        self.level += max(0, burst - self.burst)
        self.burst = max(self.burst, burst)


class RateMachine(stateful.RuleBasedStateMachine):
    """Guards against accepting more than burst + rate x time.

    Three hosts lend and borrow two portions of a team over a network that
    loses, delays, reorders and duplicates. Clocks run at different speeds.
    """

    @stateful.initialize(
        speeds=strategies.lists(_SPEED, min_size=3, max_size=3),
        rate=strategies.sampled_from([2.0, 200.0]),
        burst=strategies.sampled_from([1.0, 7.5, 40.0]),
    )
    def start(self, speeds, rate, burst):
        self.true_ms = 0.0
        self.speeds = dict(zip(_HOSTS, speeds, strict=True))
        self.starts = 0
        self.rate, self.burst = rate, burst
        self.bounds = [_Bound(rate, burst, 0.0)]
        self.lenders = {host: lender.Lender() for host in _HOSTS}
        self.borrowers = {host: self.new_borrower() for host in _HOSTS}
        self.owners = {"p0": "a", "p1": "b"}
        for partition, owner in self.owners.items():
            self.lenders[owner].acquire(partition, None, self.now(owner))
        self.bag = []
        self.fill()

    def new_borrower(self):
        self.starts += 1
        return borrower.Borrower(random.Random(self.starts))

    def now(self, host):
        return 1_000.0 + self.true_ms * self.speeds[host]

    def portion(self, index):
        count = 2 if self.burst >= 2 else 1
        if index >= count:
            return portion.Portion("t", "r", index, 0.0, 0.0)
        return portion.Portion(
            "t", "r", index, self.rate / count, self.burst / count
        )

    @stateful.rule(step=strategies.sampled_from([1, 20, 90, 150, 300, 1000]))
    def pass_time(self, step):
        self.true_ms += step

    @stateful.rule()
    def fill(self):
        self.true_ms += self.burst / self.rate * 1_010 + 300

    @stateful.rule(
        hosts=strategies.permutations(_HOSTS),
        wait=strategies.sampled_from([0, 0, 150, 210]),
        pause=strategies.sampled_from([0, 150, 190, 197, 250]),
        gap=strategies.sampled_from([1, 6, 30]),
        count=strategies.sampled_from([1, 5, 50]),
        loss=strategies.sampled_from([None, None, False, True]),
    )
    def borrow_twice(self, hosts, wait, pause, gap, count, loss):
        """Borrow, stall, spend late, and borrow at another host.

        Between the two, the owners may change without (False) or with
        (True) a hand-over.
        """
        self.borrow(hosts[0], wait)
        if loss is not None:
            for index in (0, 1):
                self.change_owner(index, hosts[2], loss)
        self.true_ms += pause
        self.spend(hosts[0], 50)
        self.true_ms += gap
        self.borrow(hosts[1], 0)
        self.spend(hosts[1], count)

    def borrow(self, host, wait):
        for index in (0, 1):
            self.ask(host, index, 50, 0)
        self.exchange(host)
        self.true_ms += wait
        self.exchange(host)

    @stateful.rule(
        host=strategies.sampled_from(_HOSTS),
        index=strategies.integers(0, 1),
        need=strategies.integers(0, 50),
        extra=strategies.integers(0, 50),
    )
    def ask(self, host, index, need, extra):
        source = place.Place(
            self.portion(index), f"p{index}", self.owners[f"p{index}"]
        )
        question = self.borrowers[host].ask(source, need, self.now(host))
        question = messages.TakeTokens(
            number=question.number,
            team="t",
            region="r",
            portion=index,
            need=need,
            extra=extra,
            reports=question.reports,
        )
        self.bag.append((host, source.owner, question))

    @stateful.precondition(lambda self: self.bag)
    @stateful.rule(
        pick=strategies.integers(0, 1_000),
        fate=strategies.sampled_from(["move", "move", "move", "copy", "lose"]),
    )
    def deliver(self, pick, fate):
        at = pick % len(self.bag)
        sender, receiver, message = self.bag[at]
        if fate != "copy":
            del self.bag[at]
        if fate != "lose":
            self.handle(sender, receiver, message)

    def handle(self, sender, receiver, message):
        now_ms = self.now(receiver)
        if isinstance(message, messages.Tokens):
            self.borrowers[receiver].on_tokens(message, now_ms)
            return
        partition = f"p{message.portion}"
        if self.owners[partition] != receiver:
            return
        if isinstance(message, messages.ReportTokens):
            self.lenders[receiver].report(partition, sender, message, now_ms)
            return
        answer = self.lenders[receiver].lend(
            partition, self.portion(message.portion), sender, message, now_ms
        )
        self.bag.append((receiver, sender, answer))

    def exchange(self, host):
        for sender, receiver, message in list(self.bag):
            if host in (sender, receiver):
                self.bag.remove((sender, receiver, message))
                self.handle(sender, receiver, message)

    @stateful.rule(
        host=strategies.sampled_from(_HOSTS), count=strategies.integers(1, 50)
    )
    def spend(self, host, count):
        for _ in range(count):
            if self.borrowers[host].spend("t", self.now(host)) is None:
                return
            for bound in self.bounds:
                bound.accept(self.true_ms)

    @stateful.rule(host=strategies.sampled_from(_HOSTS))
    def sweep(self, host):
        for source, notice in self.borrowers[host].sweep(self.now(host)):
            self.bag.append((host, self.owners[source.partition], notice))

    @stateful.rule(
        host=strategies.sampled_from(_HOSTS), index=strategies.integers(0, 1)
    )
    def report(self, host, index):
        source = place.Place(self.portion(index), f"p{index}", None)
        notice = self.borrowers[host].report(source, self.now(host))
        if notice is not None:
            self.bag.append((host, self.owners[f"p{index}"], notice))

    @stateful.rule(host=strategies.sampled_from(_HOSTS))
    def restart(self, host):
        self.borrowers[host] = self.new_borrower()

    @stateful.rule(
        index=strategies.integers(0, 1),
        successor=strategies.sampled_from(_HOSTS),
        is_handed_over=strategies.booleans(),
    )
    def change_owner(self, index, successor, is_handed_over):
        partition = f"p{index}"
        owner = self.owners[partition]
        exported = self.lenders[owner].export(partition, self.now(owner))
        self.lenders[successor].acquire(
            partition,
            exported if is_handed_over else None,
            self.now(successor),
        )
        self.owners[partition] = successor

    @stateful.rule(
        rate=strategies.sampled_from([2.0, 200.0]),
        burst=strategies.sampled_from([1.0, 7.5, 40.0]),
        host=strategies.sampled_from(_HOSTS),
        settle=strategies.sampled_from([0.0, _LAPSE_MS + 1]),
    )
    def change_rate(self, rate, burst, host, settle):
        self.rate, self.burst = rate, burst
        for bound in self.bounds:
            bound.widen(rate, burst)
        # Tokens lent before a cut may be used until their loans end.
        self.bounds.append(_Bound(rate, burst, self.true_ms + _LAPSE_MS))
        for host in _HOSTS:
            self.lenders[host].tune(
                lambda team, region, index: self.portion(index),
                self.now(host),
            )

        self.true_ms += settle
        self.borrow(host, 0)
        self.spend(host, 50)


def test_rate_holds_under_faults():
    """Guards against more accepted requests than burst + rate x time."""
    seeds.run_machine(RateMachine, max_examples=300, step_count=30)
