"""Tests of the forwarder's backup attempts, with simulated targets."""

import random

import anyio
import trio
import trio.testing

from pomeloward import balance
from pomeloward import quarantine
from pomeloward import relay
from pomeloward import retry
from pomeloward.relay import attemptresult
from pomeloward.relay import requestlogentry
from pomeloward.relay import targetresponse
from tests.balance import factories
from tests.relay import samplerequests

_USUAL_MS = 360.0
_OBJECTIVE_MS = 1_000.0


class FakeTargetClient:
    """Answers for each target after a delay.

    ``delays_ms`` maps target ids to delays; ``sent_target_ids`` lists the
    targets of the attempts in their order.
    """

    def __init__(self, delays_ms):
        self.delays_ms = delays_ms
        self.sent_target_ids = []
        self.outcome = balance.Outcome.OK

    async def send(self, request, attempt, target, run_evidence):
        self.sent_target_ids.append(target.id)
        run_evidence.mark_sent()
        await anyio.sleep(self.delays_ms[target.id] / 1_000)
        response = targetresponse.TargetResponse(200, [], target.id.encode())
        return attemptresult.AttemptResult(
            attempt, self.outcome, "answered", response=response
        )


class ForwarderHarness:
    """A forwarder with two targets in its zone and known latencies.

    The latencies differ from ``_USUAL_MS`` by up to ``spread_ms``.
    """

    def __init__(self, delays_ms, spread_ms=250.0, is_idempotent=True):
        self.balancer = factories.make_balancer(
            [factories.make_target("n1"), factories.make_target("n2")]
        )
        self.route = factories.make_route(
            "s", is_idempotent=is_idempotent, aim_ms=_OBJECTIVE_MS
        )
        rng = random.Random(1)
        estimator = self.balancer.latency_estimator(self.route)
        for _ in range(60):
            estimator.add_sample(_USUAL_MS + rng.uniform(-1, 1) * spread_ms)
        self.target_client = FakeTargetClient(delays_ms)
        self.slot_allocator = relay.SlotAllocator(self.balancer)
        self.forwarder = relay.Forwarder(
            self.slot_allocator,
            self.balancer,
            self.target_client,
            retry.ServiceRetryBudgets(0.2, 60.0, True),
            quarantine.RequestQuarantine(lambda *_: None),
            relay.PathMonitor(lambda *_: None, lambda: None),
        )

    async def forward(self):
        """Forward one request; return the result and its duration in ms."""
        started_s = anyio.current_time()
        request = samplerequests.make_request(self.route, timeout_ms=6_000.0)
        log_entry = requestlogentry.RequestLogEntry(
            request.id, started_s * 1_000
        )
        forwarded = await self.forwarder.forward(request, log_entry)
        return forwarded, (anyio.current_time() - started_s) * 1_000


def _run(scenario):
    """Run a test's coroutine with simulated time."""
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_idempotent_request_to_hung_target_meets_its_objective():
    """Guards against lookups that are late because their target hangs.

    Health checks don't show such a hang.
    """

    async def scenario():
        harness = ForwarderHarness({"n1": 60_000.0, "n2": _USUAL_MS})
        hung_first_count = 0
        for _ in range(6):
            harness.target_client.sent_target_ids.clear()
            forwarded, took_ms = await harness.forward()
            assert forwarded.ok.body_start == b"n2"
            assert took_ms <= _OBJECTIVE_MS
            hung_first_count += (
                harness.target_client.sent_target_ids[0] == "n1"
            )
        assert hung_first_count

    _run(scenario)


def test_request_with_usual_latency_is_sent_once():
    async def scenario():
        harness = ForwarderHarness({"n1": _USUAL_MS, "n2": _USUAL_MS})
        for _ in range(6):
            await harness.forward()
        assert len(harness.target_client.sent_target_ids) == 6

    _run(scenario)


def test_no_early_backup_attempt_in_a_busy_zone():
    """A backup attempt that takes one of the last slots delays orders."""

    async def scenario():
        harness = ForwarderHarness({"n1": 900.0, "n2": 900.0})
        order_route = factories.make_route("order")
        for _ in range(3):
            harness.balancer.start_attempt(
                factories.SERVICE_ID, order_route, (), False, 0.0
            )
        after_backup_delay_ms = (
            harness.balancer.latency_estimator(harness.route).backup_delay_ms
            + 50
        )
        with anyio.move_on_after(after_backup_delay_ms / 1_000):
            await harness.forward()
        assert len(harness.target_client.sent_target_ids) == 1

    _run(scenario)


def test_slow_order_is_sent_to_one_target_only():
    """A second attempt beside a slow first one would run the order twice."""

    async def scenario():
        harness = ForwarderHarness(
            {"n1": 5_000.0, "n2": 5_000.0}, is_idempotent=False
        )
        forwarded, _ = await harness.forward()
        assert forwarded.is_ok()
        assert len(harness.target_client.sent_target_ids) == 1

    _run(scenario)


def test_failed_order_is_not_sent_again():
    """The target may have run it before it failed."""

    async def scenario():
        harness = ForwarderHarness(
            {"n1": 10.0, "n2": 10.0}, is_idempotent=False
        )
        harness.target_client.outcome = balance.Outcome.ERROR
        await harness.forward()
        assert len(harness.target_client.sent_target_ids) == 1

    _run(scenario)


class LongBody:
    """Stands for the rest of a long body; holds the slot of its attempt."""

    def __init__(self):
        self.on_end = None

    async def aclose(self):
        self.on_end(balance.Outcome.ABANDONED)


def test_slot_of_a_long_answer_is_free_after_its_caller_left():
    """The caller leaves just when the answer comes.

    A slot that nobody releases would be lost as long as the host runs.
    """

    async def scenario():
        harness = ForwarderHarness({"n1": 0.0, "n2": 0.0})
        client = harness.target_client
        send = client.send

        for _ in range(10):
            with anyio.CancelScope() as scope:

                async def send_and_leave(*arguments):
                    result = await send(*arguments)
                    result.response.body_rest = LongBody()
                    scope.cancel()  # noqa: B023
                    return result

                client.send = send_and_leave
                await harness.forward()
        slots = [
            harness.balancer.start_attempt(
                factories.SERVICE_ID, harness.route, (), False, 1e6
            )
            for _ in range(6)
        ]
        assert None not in slots

    _run(scenario)
