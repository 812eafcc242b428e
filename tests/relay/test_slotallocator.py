"""Tests of placing requests, first attempts and later ones."""

import anyio
import trio
import trio.testing

from pomeloward import balance
from pomeloward import model
from pomeloward import relay
from tests.balance import factories
from tests.relay import samplerequests


def _call(is_idempotent=True, end_ms=2_000.0):
    given = factories.make_route("s", is_idempotent=is_idempotent)
    return samplerequests.make_request(given, end_ms)


def _run(script, targets):
    async def main():
        made = factories.make_balancer(targets)
        placement = relay.SlotAllocator(made)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(placement.run)
            await script(placement, made)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_second_attempt_is_no_trial():
    """A lookup whose first target hung must not try another doubtful one."""

    async def script(placement, made):
        call = _call()
        for name in ("n1", "n2"):
            others = {"n1", "n2", "n3"} - {name}
            run = made.start_attempt(
                factories.SERVICE_ID, call.route, others, True, 0.0
            )
            made.end_attempt(run, balance.Outcome.SILENT, 10.0, call.route)
        await anyio.sleep(0.8)
        run = made.start_attempt(
            factories.SERVICE_ID, call.route, {"n1", "n2"}, True, 800.0
        )
        made.end_attempt(run, balance.Outcome.OK, 900.0, call.route)
        await anyio.sleep(0.2)
        first = placement.try_acquire(call, set())
        assert first.selection_reason == "trial"
        second = placement.try_acquire(call, {first.target_id})
        assert second.target_id == "n3"

    _run(script, [factories.make_target(n) for n in ("n1", "n2", "n3")])


def test_request_waits_for_a_slot_and_is_served():
    async def script(placement, made):
        call = _call()
        runs = [placement.try_acquire(call, set()) for _ in range(3)]
        assert placement.try_acquire(call, set()) is None
        placed = []

        async def wait():
            placed.append(await placement.acquire(call, set()))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(0.1)
            assert not placed
            placement.release(runs[0], balance.Outcome.OK, call)
        assert placed[0].is_ok()

    _run(script, [factories.make_target("n1")])


def test_request_without_any_target_is_refused_at_once():
    async def script(placement, made):
        began_s = anyio.current_time()
        placed = await placement.acquire(_call(), set())
        assert placed.error.kind is model.ErrorKind.NO_CAPACITY
        assert placed.error.retry_after_ms > 0
        assert anyio.current_time() == began_s

    _run(script, [])


def test_request_that_gets_no_slot_in_time_is_refused_in_time():
    async def script(placement, made):
        call = _call(end_ms=500.0)
        for _ in range(3):
            placement.try_acquire(call, set())
        placed = await placement.acquire(call, set())
        assert placed.is_error()
        assert anyio.current_time() * 1_000 <= call.deadline_ms

    _run(script, [factories.make_target("n1")])


def test_waiting_request_is_refused_as_soon_as_it_cannot_be_in_time():
    """Targets were lost while it waited; it was held to its deadline."""

    async def script(placement, made):
        holding = [placement.try_acquire(_call(), set()) for _ in range(6)]
        assert None not in holding
        ended_s = []

        async def wait(call):
            placed = await placement.acquire(call, set())
            if placed.is_error():
                ended_s.append(anyio.current_time())
                assert placed.error.retry_after_ms > 0

        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(wait, _call(end_ms=1_500.0))
            await anyio.sleep(0.1)
            assert not ended_s
            made.update_targets(
                [factories.make_target("n1", slots=1)], (), 100.0
            )
            await anyio.sleep(0.1)
            early = len(ended_s)
            tasks.cancel_scope.cancel()
        assert early >= 5

    _run(script, [factories.make_target("n1"), factories.make_target("n2")])
