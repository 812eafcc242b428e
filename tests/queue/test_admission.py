"""Tests of admission with a client that has given slots."""

import anyio
from anyio import lowlevel
import pytest

from pomeloward import model
from pomeloward import queue
from pomeloward import service
from pomeloward.queue import line as line_

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeHold:
    def __init__(self, client, target):
        self.client = client
        self.target = target

    def release(self, outcome, latency_ms):
        self.client.idle.append(self.target)
        self.client.callback()


class FakeClient:
    """Slots of two targets; ``idle`` has one entry for each free slot."""

    def __init__(self, idle=()):
        self.idle = list(idle)
        self.demand = {}
        self.callback = lambda: None

    def watch(self, name, callback):
        self.callback = callback

    def try_acquire(self, name, avoid, route, team):
        for target in self.idle:
            if target not in avoid:
                self.idle.remove(target)
                return FakeHold(self, target)
        return None

    def wanted(self, name, waiting):
        self.demand = dict(waiting)

    def usual_run_ms(self, name):
        return 0.0


def clock():
    return anyio.current_time() * 1000


def make(team="a", wait_ms=500.0):
    return queue.Ticket("orders", team, clock(), clock() + wait_ms)


async def test_waiting_requests_are_woken_in_order():
    """Guards against lost wake-ups and a changed order."""
    client = FakeClient()
    admission = queue.Admission(client, clock)
    order = []

    async def request(name):
        hold = (await admission.acquire(make())).ok
        order.append(name)
        hold.release(service.Outcome.OK, 1.0)

    async with anyio.create_task_group() as tasks:
        for name in range(20):
            tasks.start_soon(request, name)
            await lowlevel.checkpoint()
        assert client.demand == {"a": 20}
        client.idle.append("t0")
        client.callback()
    assert order == list(range(20))
    assert client.demand == {}


async def test_deadline_ends_the_wait():
    """Guards against a request that waits beyond its deadline."""
    admission = queue.Admission(FakeClient(), clock)
    result = await admission.acquire(make(wait_ms=30.0))
    assert result.error.kind is model.ErrorKind.QUEUE_TIMEOUT
    assert admission.waiting("orders") == 0


async def test_cancelled_request_gives_its_slot_on():
    """Guards against a slot that is lost with its caller."""
    client = FakeClient()
    admission = queue.Admission(client, clock)
    got = []

    async def first():
        result = await admission.acquire(make())
        result.ok.release(service.Outcome.CANCELLED, 0.0)

    async def second():
        got.append(await admission.acquire(make()))

    async with anyio.create_task_group() as tasks:
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as inner:
                inner.start_soon(first)
                await anyio.sleep(0.01)
                tasks.start_soon(second)
                await anyio.sleep(0.01)
                client.idle.append("t0")
                client.callback()
                scope.cancel()
    assert got[0].ok.target == "t0"


async def test_request_that_was_shed_keeps_its_place():
    """Guards promise 14 when a ticket acquires again."""
    client = FakeClient(["t0"])
    admission = queue.Admission(client, clock)
    first = make()
    hold = (await admission.acquire(first)).ok
    order = []

    async def request(ticket, name):
        taken = (await admission.acquire(ticket)).ok
        order.append((name, taken.target))
        taken.release(service.Outcome.OK, 1.0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(request, make(), "second")
        await anyio.sleep(0.01)
        first.avoid.add("t0")
        tasks.start_soon(request, first, "first")
        await anyio.sleep(0.01)
        client.idle.append("t1")
        client.callback()
        hold.release(service.Outcome.SHED, 1.0)
    assert order[0] == ("first", "t1")
    assert [name for name, _ in order] == ["first", "second"]


async def test_slots_that_come_together_all_go_to_waiting_requests():
    """Guards against a slot that stays idle while requests wait."""
    client = FakeClient()
    admission = queue.Admission(client, clock)
    results = []

    async def request():
        results.append(await admission.acquire(make()))

    async with anyio.create_task_group() as tasks:
        for _ in range(3):
            tasks.start_soon(request)
        await anyio.sleep(0.01)
        client.idle += ["t0", "t1", "t2"]
        client.callback()
    assert all(result.is_ok() for result in results)


async def test_request_that_avoids_a_target_lets_the_next_one_have_it():
    """Guards against a queue that stands still behind a retry."""
    client = FakeClient()
    admission = queue.Admission(client, clock)
    results = {}

    async def request(name, ticket):
        results[name] = await admission.acquire(ticket)

    async with anyio.create_task_group() as tasks:
        retry = make()
        retry.avoid.add("t0")
        tasks.start_soon(request, "retry", retry)
        await anyio.sleep(0.01)
        tasks.start_soon(request, "next", make())
        await anyio.sleep(0.01)
        client.idle.append("t0")
        client.callback()
    assert results["next"].ok.target == "t0"
    assert results["retry"].is_error()


async def test_slot_of_an_abandoned_ticket_goes_on():
    """Guards against a slot that is lost when its caller goes away."""
    client = FakeClient(["t0"])
    line = line_.Line(client, "orders")
    ticket = make()
    assert line.enter(ticket, clock()) is None
    line.serve(clock())
    assert client.idle == []
    line.abandon(ticket, clock())
    assert client.idle == ["t0"]


async def test_flood_is_refused_at_once_when_it_cannot_be_in_time():
    """Guards against a queue in which every request is late."""
    client = FakeClient(["t0"])
    admission = queue.Admission(client, clock)
    kinds = []

    async def request():
        result = await admission.acquire(make(wait_ms=300.0))
        if result.is_error():
            kinds.append(result.error.kind)
            return
        await anyio.sleep(0.02)
        result.ok.release(service.Outcome.OK, 20.0)

    async with anyio.create_task_group() as tasks:
        for _ in range(60):
            tasks.start_soon(request)
            await anyio.sleep(0.004)
    assert kinds.count(model.ErrorKind.QUEUE_FULL) > 10
    assert admission.waiting("orders") == 0
