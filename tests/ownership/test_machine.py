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
# Times near the ends of a lease of 3,000 ms on clocks that drift.
_STEP_MS = strategies.sampled_from((1, 20, 500, 1_000, 2_930, 2_960, 3_050))
# A candidacy ends after 1,000 ms, so its slowest answers take less.
_BACK_MS = strategies.sampled_from((0, 0, 0, 900, 2_000))
_PICKS = strategies.lists(strategies.integers(0, 99), min_size=2)
_RARELY = strategies.sampled_from((False, False, False, True))
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
        versions=strategies.lists(
            strategies.sampled_from((1, 2)), min_size=5, max_size=5
        ),
    )
    def start(self, speeds, skews, versions):
        hosts = [
            fleet.SimHost(name, speed, 1_000.0 * i, skew)
            for i, (name, speed, skew) in enumerate(
                zip(fleet.HOSTS, speeds, skews, strict=True)
            )
        ]
        for host, version in zip(hosts, versions, strict=True):
            host.version = model.Version(version)
        self.fleet = fleet.Fleet(hosts)
        self.fleet.time_ms = 3_100.0
        self.stood_ms = {}
        self.common_since_ms = 0.0

    @stateful.rule(step_ms=_STEP_MS)
    def advance(self, step_ms):
        self.fleet.time_ms += step_ms

    def stand(self, index, is_probing=False):
        """Stand unless the host's last candidacy has not yet ended."""
        host = self.fleet.hosts[index]
        now_ms = host.now_ms(self.fleet.time_ms)
        host.holder.expire(now_ms)
        if host.holder.is_engaged(fleet.NUMBER):
            return
        if self.stood_ms.get(index, -1_000.0) + 1_000 <= self.fleet.time_ms:
            self.stood_ms[index] = self.fleet.time_ms
            host.stand(self.fleet.time_ms, is_probing)

    @stateful.rule(
        index=_INDEX, reach=_REACH, back_ms=_BACK_MS, is_probing=_RARELY
    )
    def elect(self, index, reach, back_ms, is_probing):
        self.stand(index, is_probing)
        self.exchange(index, reach, back_ms)

    @stateful.rule(index=_INDEX, reach=_REACH, back_ms=_BACK_MS)
    def exchange(self, index, reach, back_ms):
        hosts = self.fleet.hosts
        reached = [hosts[i] for i in reach]
        self.fleet.exchange(hosts[index], reached, back_ms)

    @stateful.rule(index=_INDEX)
    def ask(self, index):
        host = self.fleet.hosts[index]
        self.fleet.packets += self.fleet.send_asks(host)

    @stateful.rule(picks=_PICKS, is_duplicate=_RARELY)
    def deliver(self, picks, is_duplicate):
        packets = self.fleet.packets
        for pick in picks[: len(packets)]:
            packet = packets[pick % len(packets)]
            if not is_duplicate:
                packets.remove(packet)
            answer = self.fleet.arrive(packet)
            if answer is not None:
                packets.append(answer)

    @stateful.rule(index=_INDEX, is_everyone=_RARELY)
    def restart(self, index, is_everyone):
        hosts = self.fleet.hosts
        for host in hosts if is_everyone else [hosts[index]]:
            host.restart(self.fleet.time_ms)

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
