"""Tests of second attempts, with targets that answer by plan."""

import random

import anyio
import trio
import trio.testing

from pomeloward import balance
from pomeloward import relay
from pomeloward import retry
from pomeloward.relay import attemptresult
from pomeloward.relay import requestlogentry
from pomeloward.relay import targetresponse
from tests.balance import factories
from tests.relay import samplerequests

_USUAL_MS = 360.0
_AIM_MS = 1_000.0


class FakeTargetClient:
    """Answers after ``delays_ms`` of a target; ``sent`` has their order."""

    def __init__(self, delays_ms):
        self.delays_ms = delays_ms
        self.sent = []

    async def send(self, call, run, target, evidence):
        self.sent.append(target.id)
        evidence.mark_sent()
        await anyio.sleep(self.delays_ms[target.id] / 1_000)
        answer = targetresponse.TargetResponse(200, [], target.id.encode())
        return attemptresult.AttemptResult(
            run, balance.Outcome.OK, "answered 200", response=answer
        )


class Host:
    """A forwarder before two targets of its zone."""

    def __init__(self, delays_ms, spread_ms=250.0):
        self.balancer = factories.make_balancer(
            [factories.make_target("n1"), factories.make_target("n2")]
        )
        self.route = factories.make_route(
            "s", is_idempotent=True, aim_ms=_AIM_MS
        )
        rng = random.Random(1)
        latency = self.balancer.latency_estimator(self.route)
        for _ in range(60):
            latency.add_sample(_USUAL_MS + rng.uniform(-1, 1) * spread_ms)
        self.sender = FakeTargetClient(delays_ms)
        self.placement = relay.SlotAllocator(self.balancer)
        self.forwarder = relay.Forwarder(
            self.placement,
            self.balancer,
            self.sender,
            retry.ServiceRetryBudgets(0.2, 60.0),
        )

    async def serve(self):
        """Serve one lookup; return its answer and how long it took."""
        began_s = anyio.current_time()
        call = samplerequests.make_request(self.route, end_ms=6_000.0)
        trace = requestlogentry.RequestLogEntry(call.id, began_s * 1_000)
        forwarded = await self.forwarder.forward(call, trace)
        return forwarded, (anyio.current_time() - began_s) * 1_000


def _run(script):
    trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))


def test_lookup_at_a_hung_target_is_served_within_its_objective():
    """Hangs that health checks don't show made lookups late."""

    async def script():
        host = Host({"n1": 60_000.0, "n2": _USUAL_MS})
        hung_first = 0
        for _ in range(6):
            host.sender.sent.clear()
            forwarded, took_ms = await host.serve()
            assert forwarded.ok.body_start == b"n2"
            assert took_ms <= _AIM_MS
            hung_first += host.sender.sent[0] == "n1"
        assert hung_first

    _run(script)


def test_lookup_that_is_answered_as_usual_is_sent_once():
    async def script():
        host = Host({"n1": _USUAL_MS, "n2": _USUAL_MS})
        for _ in range(6):
            await host.serve()
        assert len(host.sender.sent) == 6

    _run(script)


def test_busy_zone_gives_no_slots_to_early_backups():
    """A backup that takes the last slots makes orders wait."""

    async def script():
        host = Host({"n1": 900.0, "n2": 900.0})
        order = factories.make_route("order")
        for _ in range(3):
            host.balancer.start_attempt(
                factories.SERVICE_ID, order, (), False, 0.0
            )
        early_ms = (
            host.balancer.latency_estimator(host.route).backup_delay_ms + 50
        )
        with anyio.move_on_after(early_ms / 1_000):
            await host.serve()
        assert len(host.sender.sent) == 1

    _run(script)
