"""Tests of the fair queue."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pomeloward.queue import fairqueue
from pomeloward.queue import pace
from pomeloward.queue import ticket
from tests import seeds

TEAMS = ("a", "b", "c")


def make(team, arrived_ms=0.0, is_deferrable=False, weight=1.0):
    return ticket.Ticket(
        "orders", team, arrived_ms, arrived_ms + 10_000, is_deferrable, weight
    )


class QueueMachine(stateful.RuleBasedStateMachine):
    """Guards promise 14: nothing changes the order within a team."""

    def __init__(self):
        super().__init__()
        self.queue = fairqueue.FairQueue(max_waiting=20)
        self.arrived = []
        self.running = []
        self.urgent_in_a_row = 0

    @stateful.rule(
        team=strategies.sampled_from(TEAMS),
        is_deferrable=strategies.booleans(),
    )
    def arrive(self, team, is_deferrable):
        new = make(team, len(self.arrived), is_deferrable)
        self.arrived.append(new)
        before = self.queue.waiting()
        dropped = self.queue.push(new)
        if dropped is not None:
            counts = collections.Counter(before)
            counts["" if is_deferrable else team] += 1
            assert counts["" if dropped.is_deferrable else dropped.team] > 1

    @stateful.rule(count=strategies.integers(1, 5))
    def serve(self, count):
        for _ in range(count):
            first = next(self.queue.in_order(), None)
            if first is None:
                return
            self.check_served(first)
            self.queue.serve(first)
            self.running.append(first)

    @stateful.rule(data=strategies.data())
    def shed(self, data):
        """Return a request that a target shed or that has to move."""
        if self.running:
            index = data.draw(strategies.integers(0, len(self.running) - 1))
            back = self.running.pop(index)
            assert self.queue.push(back) is not back

    @stateful.rule(data=strategies.data())
    def leave(self, data):
        waiting = list(self.queue.in_order())
        if waiting:
            self.queue.remove(data.draw(strategies.sampled_from(waiting)))

    def check_served(self, first):
        waiting = list(self.queue.in_order())
        for other in waiting:
            if (other.team, other.is_deferrable) == (
                first.team,
                first.is_deferrable,
            ):
                assert first.arrived_ms <= other.arrived_ms
        if first.is_deferrable or not any(t.is_deferrable for t in waiting):
            self.urgent_in_a_row = 0
        else:
            self.urgent_in_a_row += 1
        assert self.urgent_in_a_row <= 20

    @stateful.invariant()
    def is_bounded(self):
        assert len(self.queue) <= 20
        assert len(self.queue) == len(list(self.queue.in_order()))


def test_order_of_the_queue():
    """Guards against lost turns, starvation and growth."""
    seeds.run_machine(QueueMachine, max_examples=150, step_count=50)


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(
    bursts=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(TEAMS), strategies.integers(1, 8)
        ),
        min_size=1,
        max_size=30,
    )
)
def test_backlogged_teams_get_equal_turns(bursts):
    """Guards against a team that gets more by sending more.

    Two teams that both wait differ by at most one request over any interval
    (theorem 1 of the paper, with equal weights and lengths).
    """
    queue = fairqueue.FairQueue(max_waiting=1_000)
    for team, count in bursts:
        for _ in range(count):
            queue.push(make(team))
    served = collections.Counter()
    while len(set(queue.waiting())) > 1:
        first = next(queue.in_order())
        queue.serve(first)
        served[first.team] += 1
        counts = [served[team] for team in queue.waiting()]
        assert max(counts) - min(counts) <= 2


def test_weights_divide_the_turns():
    """Guards against weights that are ignored."""
    queue = fairqueue.FairQueue()
    for _ in range(60):
        queue.push(make("a", weight=2.0))
        queue.push(make("b"))
    served = collections.Counter()
    for _ in range(30):
        first = next(queue.in_order())
        queue.serve(first)
        served[first.team] += 1
    assert abs(served["a"] - 2 * served["b"]) <= 2


def test_full_queue_drops_from_the_longest_team():
    """Guards against a flooding team that pushes others out."""
    queue = fairqueue.FairQueue(max_waiting=10)
    quiet = make("quiet")
    queue.push(quiet)
    for _ in range(50):
        dropped = queue.push(make("loud"))
        assert dropped is None or dropped.team == "loud"
    assert quiet in list(queue.in_order())
    late = make("late")
    assert queue.push(late).team == "loud"
    assert late in list(queue.in_order())


def test_idle_team_saves_up_no_turns():
    """Guards against a team that was idle and then gets all turns."""
    queue = fairqueue.FairQueue()
    for _ in range(100):
        queue.push(make("a"))
        queue.serve(next(queue.in_order()))
    for _ in range(30):
        queue.push(make("a"))
        queue.push(make("b"))
    served = collections.Counter()
    for _ in range(20):
        first = next(queue.in_order())
        queue.serve(first)
        served[first.team] += 1
    assert served["b"] <= 11


def test_deferrable_share_is_a_twentieth():
    """Guards against starvation of deferrable requests, and against more."""
    queue = fairqueue.FairQueue(max_waiting=2_000)
    for _ in range(500):
        queue.push(make("a"))
        queue.push(make("a", is_deferrable=True))
    served = collections.Counter()
    for _ in range(400):
        first = next(queue.in_order())
        queue.serve(first)
        served[first.is_deferrable] += 1
    assert 19 <= served[True] <= 21


def test_pace_foresees_the_wait():
    """Guards against admitting what cannot start before its deadline."""
    steady = pace.Pace()
    assert steady.wait_ms(100, 0.0) == 0.0
    for number in range(20):
        steady.served(number * 50.0, has_waiting=True)
    assert 900 < steady.wait_ms(20, 1_000.0) < 1_100
    assert pace.latest_start_ms(0.0, 1_000.0, 50.0) == 950.0
    assert pace.latest_start_ms(0.0, 1_000.0, 5_000.0) == 800.0


def test_turns_of_a_team_follow_arrival():
    """Guards against requests overtaken while they waited for tokens.

    They enter the queue together and in any order when tokens come.
    """
    queue = fairqueue.FairQueue()
    for arrived_ms in (3.0, 1.0, 4.0, 2.0):
        queue.push(make(TEAMS[0], arrived_ms=arrived_ms))
    order = [waiting.arrived_ms for waiting in queue.in_order()]
    assert order == [1.0, 2.0, 3.0, 4.0]


def test_arrival_does_not_move_a_team_ahead():
    """Guards against a team that gains turns of others by late entry."""
    queue = fairqueue.FairQueue()
    for number in (10, 11, 12):
        queue.push(make(TEAMS[0], arrived_ms=float(number)))
    queue.push(make(TEAMS[1], arrived_ms=0.0))
    teams = [waiting.team for waiting in queue.in_order()]
    assert teams[:2] == [TEAMS[0], TEAMS[1]]
