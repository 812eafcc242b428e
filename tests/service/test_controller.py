"""State machine over a controller, its hosts and a lossy network."""

from hypothesis import stateful
from hypothesis import strategies
import msgspec

from pomeloward.service import floor
from pomeloward.service import targetstate
from tests import seeds
from tests.service import world as world_

STATE = targetstate.TargetState
HOST = strategies.integers(0, 2)
PLACE = strategies.integers(0, 5)


class ControllerMachine(stateful.RuleBasedStateMachine):
    """Guards promises 1, 6, 7 and 11 against loss, delay and restarts."""

    def __init__(self):
        super().__init__()
        self.world = world_.World()
        self.states = {}
        self.accusers = {name: set() for name in self.world.targets}

    def host(self, index):
        return self.world.hosts[index]

    @stateful.rule(index=HOST)
    def send(self, index):
        """Put a report into flight until it is delivered or lost."""
        self.world.send_report(self.host(index))

    @stateful.rule(data=strategies.data(), is_copy=strategies.booleans())
    def deliver(self, data, is_copy):
        if not self.world.flight:
            return
        index = data.draw(strategies.integers(0, len(self.world.flight) - 1))
        if is_copy:
            self.world.flight.append(self.world.flight[index])
        self.world.deliver(index)

    @stateful.rule(data=strategies.data())
    def lose(self, data):
        if self.world.flight:
            del self.world.flight[
                data.draw(strategies.integers(0, len(self.world.flight) - 1))
            ]

    @stateful.rule(index=HOST, count=strategies.integers(1, 8))
    def work(self, index, count):
        """Let a host take slots for its demand and use them at once."""
        host = self.host(index)
        host.slots.waiting = {"a": count}
        self.world.exchange(host)
        for _ in range(count):
            self.world.acquire(host)
        host.slots.waiting = {}
        self.world.start(host)

    @stateful.rule(index=HOST)
    def acquire(self, index):
        """Let a request take a slot; its host pauses before it sends."""
        self.world.acquire(self.host(index))

    @stateful.rule(index=HOST)
    def start(self, index):
        self.world.start(self.host(index))

    @stateful.rule(index=HOST, count=strategies.integers(1, 4))
    def finish(self, index, count):
        host = self.host(index)
        for _ in range(min(count, len(host.runs))):
            self.world.finish(host)
        self.world.exchange(host)

    @stateful.rule(rounds=strategies.integers(1, 5))
    def busy(self, rounds):
        """Let all hosts work for some seconds, so that slow start ends."""
        for _ in range(rounds):
            for index in range(3):
                self.work(index, 6)
            self.world.advance(300)
            for index in range(3):
                self.finish(index, 6)
            self.world.advance(300)

    @stateful.rule(
        step_ms=strategies.sampled_from([5, 400, 1_100, 2_880, 3_100, 10_500])
    )
    def advance(self, step_ms):
        self.world.advance(step_ms)

    @stateful.rule(
        index=HOST,
        step_ms=strategies.integers(0, 3_200),
        place=PLACE,
        is_stop=strategies.booleans(),
    )
    def leave(self, index, step_ms, place, is_stop):
        """Let a target leave or come back; one host hears of it later."""
        view = self.world.view
        view.target_list[place] = msgspec.structs.replace(
            view.target_list[place], is_leaving=is_stop
        )
        self.world.configure()
        self.world.advance(step_ms)
        self.host(index).slots.configure(view.slots(), view.stopped())

    @stateful.rule(
        zone=strategies.integers(0, 2), is_out=strategies.booleans()
    )
    def take_zone(self, zone, is_out):
        view = self.world.view
        view.zones[f"z{zone}"] = msgspec.structs.replace(
            view.zones[f"z{zone}"], is_out=is_out
        )
        self.world.configure()

    @stateful.rule(place=PLACE)
    def restart(self, place):
        """Restart a target that has been out of work for long."""
        name = self.world.view.target_list[place].id
        stopped_ms = self.world.stopped_at_ms.get(name, float("inf"))
        reference = self.world.targets[name]
        if self.world.now_ms - stopped_ms > 3_000 and not reference.running:
            reference.first_ms = None

    @stateful.rule(place=PLACE, first=HOST, second=HOST)
    def accuse(self, place, first, second):
        """Two hosts, or one twice, cannot connect to a target."""
        name = self.world.view.target_list[place].id
        for index in (first, second):
            host = self.host(index)
            host.slots.unreachable(name, self.world.local_ms(host))
            self.accusers[name].add(index)
            self.world.exchange(host)
        self.world.advance(300)
        self.world.controller.tick(self.world.controller_ms())
        if self.state_of(name) is STATE.EJECTED:
            assert len(self.accusers[name]) > 1

    @stateful.rule(is_handed_over=strategies.booleans())
    def change_controller(self, is_handed_over):
        if is_handed_over:
            self.world.hand_over()
        else:
            self.world.start_controller(None)
        self.states = {}

    def state_of(self, name):
        for record in self.world.controller.targets.records:
            if record.id == name:
                return record.state
        raise AssertionError(name)

    @stateful.invariant()
    def floor_holds(self):
        """Check the floor, whatever hosts avoid besides."""
        records = self.world.controller.targets.records
        need = 0.5 * floor.capacity(records)
        new = [
            record
            for record in records
            if record.state is STATE.EJECTED
            and self.states.get(record.id) is STATE.WARM
        ]
        self.states = {record.id: record.state for record in records}
        warm = {
            record.id: record.slots
            for record in records
            if record.state is STATE.WARM
        }
        if new:
            for host in self.world.hosts:
                local_ms = self.world.local_ms(host)
                avoided = host.slots.avoided(local_ms)
                left = sum(
                    slots
                    for name, slots in warm.items()
                    if name not in avoided
                )
                assert left >= need
        if any(record.state is STATE.EJECTED for record in records):
            assert floor.serving(records) >= need


def test_promises_of_the_controller():
    """Guards against too much load on a target, and too little capacity."""
    seeds.run_machine(ControllerMachine, max_examples=150, step_count=40)
