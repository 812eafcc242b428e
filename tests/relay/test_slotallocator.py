"""Tests of the allocation of slots to first attempts and retries."""

import anyio
import trio
import trio.testing

from pomeloward import balance
from pomeloward import model
from pomeloward import relay
from tests.balance import factories
from tests.relay import samplerequests


def _make_request(is_idempotent=True, timeout_ms=2_000.0):
    route = factories.make_route("s", is_idempotent=is_idempotent)
    return samplerequests.make_request(route, timeout_ms)


def _run(scenario, targets):
    """Run a test's coroutine and the allocator with simulated time."""

    async def main():
        balancer = factories.make_balancer(targets)
        allocator = relay.SlotAllocator(balancer)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(allocator.run)
            await scenario(allocator, balancer)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_second_attempt_is_never_a_trial():
    """Guards against a retry at another unhealthy target.

    After a target that hung, the second attempt has to succeed.
    """

    async def scenario(allocator, balancer):
        request = _make_request()
        for target_id in ("n1", "n2"):
            avoided_target_ids = {"n1", "n2", "n3"} - {target_id}
            attempt = balancer.start_attempt(
                factories.SERVICE_ID,
                request.route,
                avoided_target_ids,
                True,
                0.0,
            )
            balancer.end_attempt(
                attempt, balance.Outcome.SILENT, 10.0, request.route
            )
        await anyio.sleep(0.8)
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, request.route, {"n1", "n2"}, True, 800.0
        )
        balancer.end_attempt(attempt, balance.Outcome.OK, 900.0, request.route)
        await anyio.sleep(0.2)
        first = allocator.try_acquire(request, set())
        assert first.selection_reason == "trial"
        second = allocator.try_acquire(request, {first.target_id})
        assert second.target_id == "n3"

    _run(scenario, [factories.make_target(n) for n in ("n1", "n2", "n3")])


def test_queued_request_gets_the_next_free_slot():
    async def scenario(allocator, balancer):
        request = _make_request()
        attempts = [allocator.try_acquire(request, set()) for _ in range(3)]
        assert allocator.try_acquire(request, set()) is None
        acquired = []

        async def wait():
            acquired.append(await allocator.acquire(request, set()))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(0.1)
            assert not acquired
            allocator.release(attempts[0], balance.Outcome.OK, request)
        assert acquired[0].is_ok()

    _run(scenario, [factories.make_target("n1")])


def test_request_without_targets_is_refused_at_once():
    async def scenario(allocator, balancer):
        started_s = anyio.current_time()
        acquired = await allocator.acquire(_make_request(), set())
        assert acquired.error.kind is model.ErrorKind.NO_CAPACITY
        assert acquired.error.retry_after_ms > 0
        assert anyio.current_time() == started_s

    _run(scenario, [])


def test_request_without_a_slot_is_refused_before_its_deadline():
    async def scenario(allocator, balancer):
        request = _make_request(timeout_ms=500.0)
        for _ in range(3):
            allocator.try_acquire(request, set())
        acquired = await allocator.acquire(request, set())
        assert acquired.is_error()
        assert anyio.current_time() * 1_000 <= request.deadline_ms

    _run(scenario, [factories.make_target("n1")])


def test_queued_request_is_refused_as_soon_as_it_would_be_late():
    """Guards against requests that wait in vain until their deadlines.

    They were queued when targets were lost.
    """

    async def scenario(allocator, balancer):
        held_attempts = [
            allocator.try_acquire(_make_request(), set()) for _ in range(6)
        ]
        assert None not in held_attempts
        refused_at_s = []

        async def wait(request):
            acquired = await allocator.acquire(request, set())
            if acquired.is_error():
                refused_at_s.append(anyio.current_time())
                assert acquired.error.retry_after_ms > 0

        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(wait, _make_request(timeout_ms=1_500.0))
            await anyio.sleep(0.1)
            assert not refused_at_s
            balancer.update_targets(
                [factories.make_target("n1", slots=1)], (), 100.0
            )
            await anyio.sleep(0.1)
            early_refusal_count = len(refused_at_s)
            tasks.cancel_scope.cancel()
        assert early_refusal_count >= 5

    _run(scenario, [factories.make_target("n1"), factories.make_target("n2")])


def test_request_is_refused_at_once_when_all_targets_were_tried():
    """It waited for a slot that no target could give it."""

    async def scenario():
        balancer = factories.make_balancer([factories.make_target("n1")])
        allocator = relay.SlotAllocator(balancer)
        request = samplerequests.make_request(factories.make_route("s"))
        started_s = anyio.current_time()
        acquired = await allocator.acquire(request, {"n1"})
        assert acquired.is_error()
        assert anyio.current_time() == started_s

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
