"""State machine over voters and holders: never two owners at once."""

from hypothesis import stateful
from hypothesis import strategies

from pomeloward import model
from pomeloward.ownership import lease
from tests import seeds
from tests.ownership import fleet

_INDEX = strategies.integers(0, 4)
_REACH = strategies.sets(_INDEX, min_size=2)
_SPEED = strategies.sampled_from(
    (1 - model.MAX_DRIFT_RATIO / 2, 1.0, 1 + model.MAX_DRIFT_RATIO / 2)
)
_STEP_MS = strategies.sampled_from((1, 40, 500, 1_000, 1_500, 2_900, 3_050))
# A configuration retires a roster long after every host has its successor;
# one lease on the slowest clock is all that safety asks of that time.
_RETIRE_MS = model.outstanding_until_ms(0.0, lease.LEASE_MS)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Loss, delay, reordering, duplicates, cuts, pauses and restarts.

    A host that no rule touches while time advances is paused. A ``reach``
    is the set of hosts that can be reached in both directions; a packet
    whose answer is never delivered was cut one way.
    """

    @stateful.initialize(
        speeds=strategies.lists(_SPEED, min_size=5, max_size=5),
        skews=strategies.lists(
            strategies.integers(-10, 10), min_size=5, max_size=5
        ),
    )
    def start(self, speeds, skews):
        hosts = [
            fleet.SimHost(name, speed, 1_000.0 * i, skew)
            for i, (name, speed, skew) in enumerate(
                zip(fleet.HOSTS, speeds, skews, strict=True)
            )
        ]
        self.fleet = fleet.Fleet(hosts)
        self.fleet.time_ms = 3_100.0
        self.common_since_ms = 0.0

    @stateful.rule(step_ms=_STEP_MS)
    def advance(self, step_ms):
        self.fleet.time_ms += step_ms

    @stateful.rule(index=_INDEX)
    def stand(self, index):
        # A candidacy and its backoff take a second; with 7 candidates
        # epochs grow by less than 10 in a second, as in production.
        self.fleet.time_ms += 100
        host = self.fleet.hosts[index]
        now_ms = host.now_ms(self.fleet.time_ms)
        host.holder.expire(now_ms)
        if not host.holder.is_engaged(fleet.NUMBER):
            host.stand(self.fleet.time_ms)

    @stateful.rule(index=_INDEX, reach=_REACH)
    def exchange(self, index, reach):
        hosts = self.fleet.hosts
        self.fleet.exchange(hosts[index], [hosts[i] for i in reach])

    @stateful.rule(index=_INDEX, reach=_REACH)
    def elect(self, index, reach):
        self.stand(index)
        self.exchange(index, reach)

    @stateful.rule(index=_INDEX)
    def ask(self, index):
        host = self.fleet.hosts[index]
        self.fleet.packets += self.fleet.send_asks(host)

    @stateful.rule(picks=strategies.lists(strategies.integers(0, 99)))
    def deliver(self, picks):
        for pick in picks:
            if not self.fleet.packets:
                return
            packets = self.fleet.packets
            answer = self.fleet.arrive(packets.pop(pick % len(packets)))
            if answer is not None:
                packets.append(answer)

    @stateful.rule(pick=strategies.integers(0, 99))
    def duplicate(self, pick):
        packets = self.fleet.packets
        if packets:
            packets.append(packets[pick % len(packets)])

    @stateful.rule(indexes=strategies.sets(_INDEX, min_size=1))
    def restart(self, indexes):
        for index in indexes:
            self.fleet.hosts[index].restart(self.fleet.time_ms)

    @stateful.rule(index=_INDEX, successor=_INDEX)
    def hand_over(self, index, successor):
        hosts = self.fleet.hosts
        self.fleet.release(hosts[index], hosts[successor].name)

    @stateful.rule(index=_INDEX)
    def configure(self, index):
        host = self.fleet.hosts[index]
        oldest = min(each.version for each in self.fleet.hosts)
        waited_ms = self.fleet.time_ms - self.common_since_ms
        if host.version == 3 or (
            host.version == 2 and (oldest < 2 or waited_ms < _RETIRE_MS)
        ):
            return
        host.version = model.Version(host.version + 1)
        host.holder.configure(
            lambda _: fleet.ELECTORATES[host.version],
            host.now_ms(self.fleet.time_ms),
        )
        if min(each.version for each in self.fleet.hosts) > oldest:
            self.common_since_ms = self.fleet.time_ms

    @stateful.invariant()
    def one_owner(self):
        if hasattr(self, "fleet"):
            assert len(self.fleet.valid_holders()) <= 1


def test_never_two_owners():
    """Guards against two valid holders, and an epoch that does not grow."""
    seeds.run_machine(OwnershipMachine, max_examples=250, step_count=40)
