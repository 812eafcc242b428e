"""Tests of the limit on what a host holds of answers."""

import anyio
import anyio.lowlevel
import httpx
import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from pomeloward import balance
from pomeloward import dispatch
from pomeloward import relay
from pomeloward.relay import attemptresult
from pomeloward.relay import heldbytes
from pomeloward.relay import responsereader
from pomeloward.relay import responsewriter
from tests.balance import factories
from tests.relay import samplerequests
from tests.relay import test_forwarder

_CAPACITY_BYTES = 100_000
_KIB = 1_024


class _Stream(httpx.AsyncByteStream):
    """Yields chunks after pauses, and may then fail or never end."""

    def __init__(self, steps, ending):
        self._steps = steps
        self._ending = ending

    async def __aiter__(self):
        for pause_ms, size in self._steps:
            await anyio.sleep(pause_ms / 1_000)
            yield b"x" * size
        if self._ending == "fail":
            raise httpx.ReadError("closed")
        if self._ending == "hang":
            await anyio.sleep_forever()

    async def aclose(self):
        await anyio.lowlevel.checkpoint()


class _TargetClient:
    """Reads scripted answers as the real client does."""

    def __init__(self, held_bytes, answers):
        self._held_bytes = held_bytes
        self._answers = list(answers)

    async def send(self, request, attempt, target, run_evidence):
        run_evidence.mark_sent()
        status, steps, ending = self._answers.pop(0)
        response = httpx.Response(status, stream=_Stream(steps, ending))
        outcome = (
            balance.Outcome.OK if status == 200 else balance.Outcome.ERROR
        )
        try:
            read = await responsereader.read_response(
                request, response, self._held_bytes
            )
        except httpx.HTTPError as error:
            return attemptresult.AttemptResult(
                attempt, balance.Outcome.ERROR, str(error)
            )
        return attemptresult.AttemptResult(attempt, outcome, "", response=read)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 900), strategies.integers(1, 200 * _KIB)
    ),
    max_size=5,
)
_ANSWER = strategies.tuples(
    strategies.sampled_from([200, 404, 500]),
    _STEPS,
    strategies.sampled_from(["end", "fail", "hang"]),
)


def _make_forwarder(held_bytes, answers):
    harness = test_forwarder.ForwarderHarness({})
    harness.forwarder = relay.Forwarder(
        harness.slot_allocator,
        harness.balancer,
        _TargetClient(held_bytes, answers),
        test_forwarder.retry.ServiceRetryBudgets(0.2, 60.0, True),
        test_forwarder.quarantine.RequestQuarantine(lambda *_: None),
        relay.PathMonitor(lambda *_: None, lambda: None),
    )
    return harness


async def _serve(harness, send_ms):
    """Forward a request and pass the answer on, as the application does."""
    forwarded, _ = await harness.forward()
    if forwarded.is_error():
        return

    async def send(message):
        await anyio.sleep(send_ms / 1_000)

    try:
        writer = responsewriter.ResponseWriter(send, (b"x-id", b"q"), False)
        await writer.write_response(forwarded.ok)
    except (dispatch.AnswerCut, responsewriter.ResponseNotTaken):
        pass
    finally:
        await forwarded.ok.aclose()


@hypothesis.settings(
    max_examples=100, deadline=None, database=None, derandomize=True
)
@hypothesis.given(
    answers=strategies.lists(_ANSWER, min_size=12, max_size=12),
    send_ms=strategies.integers(0, 300),
    cancel_ms=strategies.integers(0, 7_000),
)
def test_every_answer_gives_back_what_it_held(answers, send_ms, cancel_ms):
    """Losers, failures, cancelled and deadline-bound answers leaked bytes."""
    held_bytes = heldbytes.HeldBytes(lambda *_: None, _CAPACITY_BYTES)

    async def scenario():
        harness = _make_forwarder(held_bytes, answers)
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(_serve, harness, send_ms)
            with anyio.move_on_after(cancel_ms / 1_000):
                await anyio.sleep_forever()
            tasks.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(scenario, clock=clock)
    assert held_bytes.byte_count == 0


async def _read(held_bytes, sizes):
    request = samplerequests.make_request(factories.make_route())
    stream = _Stream([(0, size) for size in sizes], "end")
    return await responsereader.read_response(
        request, httpx.Response(200, stream=stream), held_bytes
    )


def test_answer_is_passed_on_whole_when_no_bytes_are_left():
    """An answer that a target has run must not be thrown away."""
    changes = []
    held_bytes = heldbytes.HeldBytes(
        lambda *change: changes.append(change), 50 * _KIB
    )

    async def scenario():
        first = await _read(held_bytes, [30 * _KIB])
        second = await _read(held_bytes, [20 * _KIB] * 3)
        assert first.body_rest is None
        assert len(second.body_start) == 20 * _KIB
        rest = [len(chunk) async for chunk in second.body_rest]
        assert rest == [20 * _KIB] * 2
        third = await _read(held_bytes, [_KIB] * 4)
        assert third.body_rest is None
        assert changes == [(True, 50 * _KIB)]
        for answer in (first, second, third):
            await answer.aclose()
            await answer.aclose()
        assert held_bytes.byte_count == 0
        assert [is_exhausted for is_exhausted, _ in changes] == [True, False]

    anyio.run(scenario)


def test_discarded_body_is_not_kept():
    """The bodies of refusals were collected before they were dropped."""
    chunk_count = 0
    kept = []

    class Chunk(bytes):
        def __del__(self):
            kept.remove(id(self))

    class Stream(httpx.AsyncByteStream):
        async def __aiter__(self):
            nonlocal chunk_count
            for _ in range(10):
                chunk = Chunk(_KIB)
                kept.append(id(chunk))
                chunk_count += 1
                yield chunk
                del chunk
                assert len(kept) <= 1

    async def scenario():
        await responsereader.discard_body(httpx.Response(503, stream=Stream()))

    anyio.run(scenario)
    assert chunk_count == 10


def test_failed_answer_gives_back_what_it_held_when_another_follows():
    """The answer of the first attempt stayed counted."""
    held_bytes = heldbytes.HeldBytes(lambda *_: None, _CAPACITY_BYTES)
    answers = [(500, [(0, _KIB)], "end"), (200, [(0, 2 * _KIB)], "end")]

    async def scenario():
        harness = _make_forwarder(held_bytes, answers)
        forwarded, _ = await harness.forward()
        assert forwarded.ok.status == 200
        assert held_bytes.byte_count == 2 * _KIB
        await forwarded.ok.aclose()
        assert held_bytes.byte_count == 0

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_loser_of_a_race_gives_back_what_it_held():
    """Both answers ended in the same step of the event loop."""
    held_bytes = heldbytes.HeldBytes(lambda *_: None, _CAPACITY_BYTES)

    async def scenario():
        harness = _make_forwarder(held_bytes, [])
        ends_ms = anyio.current_time() * 1_000 + 2_000

        async def answer_at_end(request, attempt, target, run_evidence):
            run_evidence.mark_sent()
            stream = _Stream([(0, _KIB)], "end")
            read = await responsereader.read_response(
                request, httpx.Response(200, stream=stream), held_bytes
            )
            await anyio.sleep_until(ends_ms / 1_000)
            sent.append(target.id)
            return attemptresult.AttemptResult(
                attempt, balance.Outcome.OK, "", response=read
            )

        sent = []
        harness.forwarder._target_client.send = answer_at_end
        forwarded, _ = await harness.forward()
        assert len(sent) == 2
        assert held_bytes.byte_count == _KIB
        await forwarded.ok.aclose()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert held_bytes.byte_count == 0


def test_failed_answer_gives_back_what_it_held_at_the_deadline():
    """A retry waited for a slot until the deadline of its request."""
    held_bytes = heldbytes.HeldBytes(lambda *_: None, _CAPACITY_BYTES)

    async def scenario():
        answers = [(500, [(0, _KIB)], "end")]
        harness = _make_forwarder(held_bytes, answers)
        acquire = harness.slot_allocator.acquire

        async def acquire_first(request, tried_target_ids):
            if tried_target_ids:
                assert held_bytes.byte_count == _KIB
                await anyio.sleep_forever()
            return await acquire(request, tried_target_ids)

        harness.slot_allocator.acquire = acquire_first
        forwarded, _ = await harness.forward()
        assert forwarded.is_error()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert held_bytes.byte_count == 0
