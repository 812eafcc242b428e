"""State machine of schedules that endanger orders."""

from hypothesis import stateful
from hypothesis import strategies

from tests import seeds
from tests.orders import world


class OrderMachine(world.OrderWorld):
    """Guards against running an order twice, and against false answers.

    Each rule here is a schedule of the steps of ``world.OrderWorld``, which
    are rules themselves.
    """

    @stateful.rule(
        host=strategies.sampled_from(world.VOTERS),
        issued=strategies.booleans(),
        order=world.ORDER_OF_VOTERS,
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
        host=strategies.sampled_from(world.VOTERS),
        order=world.ORDER_OF_VOTERS,
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
        host=strategies.sampled_from(world.VOTERS), order=world.ORDER_OF_VOTERS
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
        host=strategies.sampled_from(world.VOTERS),
        order=world.ORDER_OF_VOTERS,
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
        owner=strategies.sampled_from(world.VOTERS),
        order=world.ORDER_OF_VOTERS,
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


def test_orders_run_at_most_once():
    """Guards against double runs, swapped answers and false `not_run`."""
    seeds.run_machine(OrderMachine, max_examples=300, step_count=30)
