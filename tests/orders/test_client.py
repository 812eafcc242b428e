"""Tests of claims between hosts on a fake network."""

import contextlib
import random

import anyio
import pytest

from pomeloward import model
from pomeloward import orders
from tests import fakes
from tests.budget import owners

pytestmark = pytest.mark.anyio
_HOSTS = [f"h{number}" for number in range(7)]
_PROOF = model.NotRunProof(model.NotRunReason.NOT_SENT, "test")
_ANSWER = orders.RecordedAnswer(201, ((b"a", b"b"),), b"done")


class _Fleet:
    """Seven hosts; h0 owns the only partition at first."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.network = fakes.FakeNetwork(tasks, random.Random(1), (0.2, 2.0))
        self.view = owners.configuration(
            _HOSTS, [], regions=(("south", 1, 1.0),)
        )
        self.owners = owners.Owners()
        self.shells, self.clients = {}, {}

    async def start(self):
        for host in _HOSTS:
            await self.start_host(host)
        self.own("h0", 1, None, -1e9)

    async def start_host(self, host):
        peers = self.network.peers(host)
        ids = orders.OrderIds(b"secret")
        voters = orders.Electorates(lambda: self.view)
        holdings = self.owners.of(host)
        shell = orders.OrderShell(
            host, peers, holdings, lambda: self.view, voters, ids, -1e9
        )
        questions = orders.OrderCaller(host, peers, holdings, shell)
        self.shells[host] = shell
        self.clients[host] = orders.OrderClient(
            host,
            "south",
            lambda: self.view,
            questions,
            ids,
            random.Random(host),
        )
        await self.tasks.start(shell.run)
        await self.tasks.start(self.clients[host].run)

    def own(self, host, epoch, state, now_ms):
        self.owners.table["south/0"] = (host, epoch)
        self.shells[host].on_acquired("south/0", epoch, state, now_ms)

    async def claim(self, host, key, digest=b"body"):
        return await self.clients[host].claim("team", "route", key, digest)


@contextlib.asynccontextmanager
async def _run_fleet():
    async with anyio.create_task_group() as tasks:
        fleet = _Fleet(tasks)
        await fleet.start()
        yield fleet
        tasks.cancel_scope.cancel()


def _now_ms():
    return anyio.current_time() * 1000


async def test_a_repeat_gets_the_recorded_answer():
    """Guards against a second run, also after the owner crashed."""
    async with _run_fleet() as fleet:
        claimed = (await fleet.claim("h1", "key")).ok
        assert claimed.answer is None
        assert claimed.is_valid(_now_ms())
        await claimed.finish(_ANSWER)
        assert not claimed.is_valid(_now_ms())
        assert (await fleet.claim("h2", "key")).ok.answer == _ANSWER
        other = await fleet.claim("h2", "key", b"other")
        assert other.error.kind is model.ErrorKind.ORDER_CONFLICT
        fleet.network.stop("h0")
        fleet.own("h3", 2, None, _now_ms())
        assert (await fleet.claim("h2", "key")).ok.answer == _ANSWER
        assert (await fleet.claim("h2", "new")).ok.answer is None


async def test_a_joined_caller_gets_the_answer_of_its_key():
    """Guards against swapped answers between waiting callers."""
    async with _run_fleet() as fleet:
        runs = [(await fleet.claim("h1", key)).ok for key in "ab"]
        joined = {}

        async def join(key):
            joined[key] = (await fleet.claim("h2", key)).ok.answer.body

        async with anyio.create_task_group() as tasks:
            for key in "ab":
                tasks.start_soon(join, key)
            await anyio.sleep(0.05)
            for run, body in zip(runs, (b"a", b"b"), strict=True):
                await run.finish(orders.RecordedAnswer(200, (), body))
        assert joined == {"a": b"a", "b": b"b"}


async def test_a_cleared_order_may_run_elsewhere():
    """Guards against orders lost to a refusal after the claim."""
    async with _run_fleet() as fleet:
        await (await fleet.claim("h1", "key")).ok.clear(_PROOF)
        assert (await fleet.claim("h2", "key")).ok.answer is None


async def test_an_abandoned_order_stays_unknown():
    """Guards against a second run after an unknown first one."""
    async with _run_fleet() as fleet:
        await (await fleet.claim("h1", "key")).ok.abandon()
        again = await fleet.claim("h2", "key")
        assert again.error.kind is model.ErrorKind.ORDER_UNKNOWN


async def test_an_issued_id_survives_a_hand_over():
    """Guards against refusing ids of the epoch before, or of other teams."""
    async with _run_fleet() as fleet:
        first, second = (await fleet.clients["h4"].issue("team", 2)).ok
        await (await fleet.claim("h1", first)).ok.finish(_ANSWER)
        state = fleet.shells["h0"].export("south/0", _now_ms())
        fleet.own("h5", 2, state, _now_ms())
        assert (await fleet.claim("h2", first)).ok.answer == _ANSWER
        assert (await fleet.claim("h2", second)).ok.answer is None
        foreign = await fleet.clients["h1"].claim("x", "route", first, b"")
        assert foreign.error.kind is model.ErrorKind.ORDER_KEY_INVALID


async def test_a_claim_without_three_voters_is_not_granted(monkeypatch):
    """Guards against a dispatch that a successor could not know of."""
    monkeypatch.setattr(orders.horizon, "CLAIM_MS", 500.0)
    async with _run_fleet() as fleet:
        for host in _HOSTS[2:]:
            fleet.network.stop(host)
        refused = await fleet.claim("h1", "key")
        assert refused.error.kind is model.ErrorKind.ORDER_OWNER_UNAVAILABLE
        assert refused.error.run_state is model.RunState.UNKNOWN


async def test_a_claim_that_took_too_long_is_given_up(monkeypatch):
    """Guards against a host that was paused between check and question."""
    async with _run_fleet() as fleet:
        # The owner has read its history when it answers a first claim.
        assert (await fleet.claim("h1", "first")).is_ok()
        with monkeypatch.context() as patch:
            patch.setattr(orders.horizon, "CLAIM_MS", 1.5)
            refused = await fleet.claim("h1", "key")
        assert refused.error.kind is model.ErrorKind.ORDER_OWNER_UNAVAILABLE
        assert (await fleet.claim("h2", "key")).ok.answer is None


def _counts(fleet, monkeypatch):
    """Count the intents and outcomes that each voter gets."""
    seen = {"intents": [], "outcomes": []}
    for host, shell in fleet.shells.items():
        for name, attribute in (("intents", "record"), ("outcomes", "settle")):
            memory = shell._witness
            known = getattr(memory, attribute)

            def note(*args, host=host, name=name, known=known):
                seen[name].append(host)
                return known(*args)

            monkeypatch.setattr(memory, attribute, note)
    return seen


async def test_four_voters_are_asked_while_all_answer(monkeypatch):
    """Guards against intents and answers that are kept 7 times."""
    async with _run_fleet() as fleet:
        seen = _counts(fleet, monkeypatch)
        claimed = (await fleet.claim("h1", "key")).ok
        await claimed.finish(_ANSWER)
        await anyio.sleep(0.1)
        assert len(set(seen["intents"])) == 4
        # The owner gets the outcome too.
        assert set(seen["intents"]) <= set(seen["outcomes"])
        assert len(set(seen["outcomes"])) <= 5


async def test_the_other_voters_are_asked_where_some_are_lost(monkeypatch):
    """Guards against orders that fail with a write quorum in reach."""
    async with _run_fleet() as fleet:
        seen = _counts(fleet, monkeypatch)
        claimed = (await fleet.claim("h1", "first")).ok
        first = set(seen["intents"])
        await claimed.finish(_ANSWER)
        lost = sorted(first - {"h0", "h1"})[:3]
        for host in lost:
            fleet.network.stop(host)
        started_ms = _now_ms()
        # Attempts after the first one ask the first voters again.
        for key in "abc":
            again = (await fleet.claim("h1", key)).ok
            assert again.answer is None
            await again.finish(_ANSWER)
        assert _now_ms() - started_ms < 1_000.0
        assert (await fleet.claim("h1", "first")).ok.answer == _ANSWER


async def test_a_cancelled_claim_is_cleared():
    """Guards against a key that stays blocked after its caller left."""
    async with _run_fleet() as fleet:
        with anyio.move_on_after(0.0015):
            await fleet.claim("h1", "key")
        await anyio.sleep(0.02)
        with anyio.fail_after(2.0):
            assert (await fleet.claim("h2", "key")).ok.answer is None


async def test_a_large_answer_is_not_kept():
    """Guards against unbounded memory for recorded answers."""
    body = b"x" * 65_537
    async with _run_fleet() as fleet:
        claimed = (await fleet.claim("h1", "key")).ok
        await claimed.finish(orders.RecordedAnswer(200, (), body))
        again = await fleet.claim("h2", "key")
        assert again.error.kind is model.ErrorKind.ORDER_UNKNOWN
