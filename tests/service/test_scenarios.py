"""Single faults of target control, one mechanism each."""

import random

import msgspec
import pytest

from pomeloward.service import floor
from pomeloward.service import messages
from pomeloward.service import targetstate
from tests.service import world as world_

STATE = targetstate.TargetState


def warm(world):
    """Let all targets become warm by work of all hosts."""
    for _ in range(40):
        for host in world.hosts:
            host.slots.waiting = {"a": 8}
            world.exchange(host)
            for _ in range(8):
                world.acquire(host)
            host.slots.waiting = {}
            world.start(host)
        world.advance(200)
        for host in world.hosts:
            while host.runs:
                world.finish(host)
            world.exchange(host)
    assert set(states(world).values()) == {STATE.WARM}


def states(world):
    return {
        record.id: record.state for record in world.controller.targets.records
    }


def work(world, host, count):
    """Let a host ask for slots and use them at once."""
    host.slots.waiting = {"a": count}
    world.exchange(host)
    for _ in range(count):
        world.acquire(host)
    host.slots.waiting = {}
    world.start(host)


def set_leaving(world, place, is_leaving):
    view = world.view
    view.target_list[place] = msgspec.structs.replace(
        view.target_list[place], is_leaving=is_leaving
    )
    world.configure()


def stay_cold(world):
    """Let the only target bear one request for ever."""
    world.targets["t00"].bears = lambda now_ms, slots: 1


def test_successor_waits_for_runs_of_a_silent_host():
    """Guards against a cold target with the loans of two controllers."""
    world = world_.World(targets=1)
    stay_cold(world)
    first, second, third = world.hosts
    for host in world.hosts:
        world.exchange(host)
    work(world, first, 1)
    assert len(first.runs) == 1
    world.start_controller(None)
    for _ in range(19):
        world.advance(500)
        work(world, second, 4)
        work(world, third, 4)
        assert not second.runs
        assert not third.runs
    world.advance(4_000)
    work(world, second, 4)
    assert len(second.runs) == 1


def test_silent_host_counts_at_a_cold_target():
    """Guards against a second request beside one whose loan has lapsed."""
    world = world_.World(targets=1)
    stay_cold(world)
    first, second, _ = world.hosts
    for host in world.hosts:
        world.exchange(host)
    work(world, first, 1)
    assert len(first.runs) == 1
    for _ in range(10):
        world.advance(500)
        work(world, second, 4)
        assert not second.runs


def test_memory_of_a_warm_target_ends_with_a_new_configuration():
    """Guards against a full load for a target that restarted meanwhile."""
    world = world_.World()
    warm(world)
    set_leaving(world, 0, True)
    world.advance(3_100)
    world.targets["t00"].first_ms = None
    set_leaving(world, 0, False)
    work(world, world.hosts[0], 24)
    world.start_controller(None)
    work(world, world.hosts[2], 24)
    assert states(world)["t00"] is STATE.UNKNOWN


def test_old_memory_of_a_warm_target_is_not_believed():
    """Guards against a host that was paused for longer than the hint."""
    world = world_.World()
    warm(world)
    world.advance(9_800)
    world.start_controller(None)
    host = world.hosts[0]
    world.send_report(host)
    world.deliver(0)
    world.deliver(0)
    world.send_report(host)
    world.advance(5_000)
    world.deliver(0)
    assert states(world)["t00"] is STATE.UNKNOWN


def test_recent_memory_of_a_warm_target_lets_traffic_flow():
    """Guards against an outage after the crash of a controller."""
    world = world_.World()
    warm(world)
    world.start_controller(None)
    world.advance(4_000)
    for host in world.hosts[:2]:
        work(world, host, 4)
        assert len(host.runs) == 4


def test_slots_of_a_joining_host_are_adopted_once():
    """Guards against slots that multiply with every report."""
    world = world_.World(targets=1)
    first = world.hosts[0]
    for host in world.hosts:
        world.exchange(host)
    work(world, first, 1)
    world.view.version += 1
    world.start_controller(None)
    for _ in range(5):
        world.exchange(first)
    assert world.controller.targets.records[0].adopted == 1
    assert world.controller.targets.capacity() == 1


def test_late_answer_is_not_applied():
    """Guards against slots that were given back and lent again."""
    world = world_.World(targets=1)
    stay_cold(world)
    first, second, _ = world.hosts
    for host in world.hosts:
        world.exchange(host)
    first.slots.waiting = {"a": 1}
    world.send_report(first)
    world.deliver(0)
    late = world.flight.pop()
    first.slots.waiting = {}
    world.exchange(first)
    work(world, second, 1)
    assert len(second.runs) == 1
    world.flight.append(late)
    world.deliver(0)
    world.acquire(first)
    world.start(first)
    assert not first.runs


def test_answer_of_an_earlier_controller_is_not_applied():
    """Guards against a slot of a controller that was replaced."""
    world = world_.World(targets=1)
    host = world.hosts[0]
    world.exchange(host)
    host.slots.report(0.0)
    sequence = host.slots.report(0.0).sequence
    old = messages.Answer(
        epoch=0,
        sequence=sequence,
        is_agreed=True,
        clock_ms=0.0,
        grants=((0, 1),),
    )
    host.slots.apply(old)
    assert host.slots.acquire("r", "a", set(), 0.0) is None


def test_report_to_an_earlier_controller_is_not_taken():
    """Guards against slots counted from a report to the predecessor."""
    world = world_.World(targets=1)
    first = world.hosts[0]
    for host in world.hosts:
        world.exchange(host)
    work(world, first, 1)
    world.send_report(first)
    world.start_controller(None)
    world.deliver(0)
    assert world.controller.targets.records[0].adopted == 0


def test_loan_counts_from_the_question():
    """Guards against new work 3 s after a stop when an answer was slow."""
    world = world_.World()
    warm(world)
    host = world.hosts[0]
    host.slots.waiting = {"a": 24}
    world.send_report(host)
    world.deliver(0)
    set_leaving(world, 0, True)
    world.advance(2_000)
    world.deliver(0)
    world.advance(1_005)
    for _ in range(24):
        world.acquire(host)
    world.start(host)


def accuse(world, *names):
    for name in names:
        for host in world.hosts:
            host.slots.unreachable(name, world.local_ms(host))
            world.exchange(host)
        world.advance(260)
        world.controller.tick(world.controller_ms())


def test_floor_counts_what_hosts_avoid():
    """Guards against ejections beside targets that a host avoids."""
    world = world_.World()
    warm(world)
    host = world.hosts[0]
    host.slots.unreachable("t05", world.local_ms(host))
    accuse(world, "t00", "t01", "t02")
    left = [
        name
        for name, state in states(world).items()
        if state is STATE.WARM
        and name not in host.slots.avoided(world.local_ms(host))
    ]
    assert len(left) >= 3


def test_host_avoids_no_more_than_its_budget():
    """Guards against a host that avoids most targets by itself."""
    world = world_.World()
    warm(world)
    host = world.hosts[0]
    for name in ("t00", "t01", "t02", "t03"):
        host.slots.unreachable(name, world.local_ms(host))
    assert len(host.slots.avoided(world.local_ms(host))) == 1


def test_successor_reserves_what_hosts_may_still_avoid():
    """Guards against ejections on top of budgets of the predecessor."""
    world = world_.World()
    warm(world)
    host = world.hosts[0]
    host.slots.unreachable("t05", world.local_ms(host))
    assert host.slots.avoided(world.local_ms(host)) == {"t05"}
    world.start_controller(None)
    for record in world.controller.targets.records:
        record.change(STATE.WARM, world.controller_ms())
    for record in world.controller.targets.records[:4]:
        world.controller.targets.try_eject(record, world.controller_ms())
    warm_left = [s for s in states(world).values() if s is STATE.WARM]
    assert len(warm_left) == 4


def test_floor_brings_ejected_targets_back():
    """Guards against too little capacity when a zone goes out later."""
    world = world_.World()
    warm(world)
    accuse(world, "t00", "t01")
    records = world.controller.targets.records
    assert any(record.state is STATE.EJECTED for record in records)
    for place in (2, 3, 4, 5):
        set_leaving(world, place, True)
    assert all(record.state is not STATE.EJECTED for record in records)
    assert floor.serving(records) == 8


def test_all_targets_slow_ejects_none():
    """Guards against ejections when the whole service is slow."""
    world = world_.World()
    warm(world)
    for number in range(20):
        rows = tuple(
            messages.Evidence(index=index, count=8, samples=8, centinats=3_000)
            for index in range(6)
        )
        for record, row in zip(
            world.controller.targets.records, rows, strict=True
        ):
            record.observe("h00", row, world.controller_ms())
        world.advance(260)
        world.controller.tick(world.controller_ms())
        assert set(states(world).values()) == {STATE.WARM}, number


def test_idle_slots_go_to_a_host_that_needs_them():
    """Guards against slots that idle hosts keep while a request waits."""
    world = world_.World(targets=6, slots=1)
    idle, other, busy = world.hosts
    for host in (idle, other, busy):
        world.exchange(host)
    for _ in range(3):
        world.advance(300)
        world.exchange(idle)
        world.exchange(other)
    work(world, busy, 6)
    nudged = world.controller.nudges(world.controller_ms())
    for host in world.hosts:
        if host.name in nudged:
            world.exchange(host)
    work(world, busy, 6)
    assert len(busy.runs) == 6


def test_slow_route_ejects_no_target():
    """Guards against targets that serve more of a slow route than others."""
    world = world_.World()
    warm(world)
    for _ in range(20):
        for index, record in enumerate(world.controller.targets.records):
            for route, count, nats in ((1, 8, 0.0), (2, 2, 2.3)):
                count = 12 if route == 2 and index == 0 else count
                row = messages.Evidence(
                    index,
                    route=route,
                    count=count,
                    samples=count,
                    centinats=round(100 * count * nats),
                )
                record.observe("h00", row, world.controller_ms())
        world.advance(260)
        world.controller.tick(world.controller_ms())
        assert set(states(world).values()) == {STATE.WARM}


@pytest.mark.parametrize(
    ("row", "state"),
    [
        (
            messages.Evidence(0, 0, count=8, samples=8, centinats=1_840),
            "EJECTED",
        ),
        (messages.Evidence(0, 0, count=8, samples=8, errors=4), "EJECTED"),
        (messages.Evidence(0, 0, count=8, samples=8, centinats=760), "COLD"),
        (messages.Evidence(0, 0, count=8, samples=6, sheds=2), "COLD"),
        (messages.Evidence(0, 0, count=8, samples=8, centinats=200), "WARM"),
        (messages.Evidence(0, 0, count=8, samples=8, errors=1), "WARM"),
    ],
)
def test_one_target_apart_from_the_others(row, state):
    """Guards against missed gray targets, falls to cold and false alarms."""
    world = world_.World()
    warm(world)
    rng = random.Random(1)
    seen = set()
    for _ in range(8):
        for index, record in enumerate(world.controller.targets.records):
            usual = messages.Evidence(
                index, count=8, samples=8, centinats=rng.randint(-80, 80)
            )
            one = row if index == 0 else usual
            record.observe("h00", one, world.controller_ms())
        world.advance(260)
        world.controller.tick(world.controller_ms())
        seen.add(states(world)["t00"])
    expected = STATE[state]
    assert expected in seen
    assert seen <= {STATE.WARM, expected}


def test_ejected_target_returns_by_trial_and_slow_start():
    """Guards against a full load at once after an ejection."""
    world = world_.World()
    warm(world)
    accuse(world, "t00")
    assert states(world)["t00"] is STATE.EJECTED
    seen = []
    for _ in range(150):
        for host in world.hosts:
            work(world, host, 6)
        world.advance(200)
        for host in world.hosts:
            while host.runs:
                world.finish(host)
            world.exchange(host)
        state = states(world)["t00"]
        if not seen or seen[-1] is not state:
            seen.append(state)
    assert seen == [STATE.EJECTED, STATE.TRIAL, STATE.COLD, STATE.WARM]
