"""Tests of whole answers, retries, cancellation and deadlines."""

import json

import anyio
import httpx
import pytest

from tests.entry import harness

pytestmark = pytest.mark.anyio

_HEADERS = {"X-Api-Key": harness.KEY}
_ORDER = _HEADERS | {"Idempotency-Key": "order-1"}


async def _cut_by_length(stream, seen):
    await stream.send(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nabc")
    await stream.aclose()


async def _cut_in_chunk(stream, seen):
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    await stream.send(head + b"3\r\nabc\r\n")
    await stream.aclose()


@pytest.mark.parametrize("respond", [_cut_by_length, _cut_in_chunk])
async def test_cut_answer_is_never_whole(tmp_path, respond):
    """Guards against a truncated answer that looks complete."""
    async with harness.running(tmp_path, respond) as (host, _):
        for is_http2 in (False, True):
            async with httpx.AsyncClient(
                http1=not is_http2, http2=is_http2
            ) as caller:
                with (
                    anyio.fail_after(3),
                    pytest.raises(
                        (httpx.RemoteProtocolError, httpx.ReadError)
                    ),
                ):
                    await caller.get(host.url + "/read", headers=_HEADERS)


@pytest.mark.parametrize("length", [9, 16, 19, 35, 36])
async def test_answer_cut_within_its_head_is_no_success(tmp_path, length):
    """Callers got a 200 with an empty body, framed as whole."""
    head = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n"

    async def respond(stream, seen):
        await stream.send(head[:length])
        await stream.aclose()

    async with (
        harness.running(tmp_path, respond) as (host, _),
        httpx.AsyncClient() as caller,
    ):
        response = await caller.get(host.url + "/read", headers=_HEADERS)
    assert response.status_code == 502
    assert response.headers["pomeloward-run"] == "unknown"


async def test_answer_without_an_end_is_refused(tmp_path):
    """Guards against a body whose truncation nobody can see."""

    async def respond(stream, seen):
        await stream.send(b"HTTP/1.1 200 X\r\n\r\nabc")
        await stream.aclose()

    async with (
        harness.running(tmp_path, respond) as (host, _),
        httpx.AsyncClient() as caller,
    ):
        response = await caller.get(host.url + "/read", headers=_HEADERS)
    assert response.status_code == 502
    assert response.headers["pomeloward-run"] == "unknown"


async def test_shed_request_runs_elsewhere(tmp_path):
    """Guards against giving up, or running twice, when a target sheds."""

    async def shed(stream, seen):
        await stream.send(_refusal(_request_id(seen)))

    async with (
        harness.running(tmp_path, shed, harness.answer(b"good")) as (
            host,
            targets,
        ),
        httpx.AsyncClient() as caller,
    ):
        for number in range(4):
            response = await caller.post(
                host.url + "/order",
                headers=_HEADERS | {"Idempotency-Key": f"o{number}"},
                content=b"x",
            )
            assert (response.status_code, response.text) == (200, "good")
    assert len(targets[1].seen) == 4


async def test_repeated_refusal_does_not_prove_that_an_order_did_not_run(
    tmp_path,
):
    """Callers were told that an order had not run, and it ran twice."""
    refusals, ran = [], []

    async def refuse_once_and_again(stream, seen):
        if not seen.head.startswith(b"POST"):
            await harness.answer(b'{"run": "unknown"}')(stream, seen)
            return
        if refusals:
            ran.append(_request_id(seen))
        else:
            refusals.append(_refusal(_request_id(seen)))
        await stream.send(refusals[0])

    async with (
        harness.running(tmp_path, refuse_once_and_again) as (host, _),
        httpx.AsyncClient() as caller,
    ):
        for number in range(6):
            count = len(ran)
            response = await caller.post(
                host.url + "/order",
                headers=_HEADERS | {"Idempotency-Key": f"o{number}"},
                content=b"x",
            )
            if len(ran) > count:
                assert len(ran) == count + 1
                assert response.headers["pomeloward-run"] == "unknown"
            await anyio.sleep(0.3)
    assert ran


def _request_id(seen):
    (line,) = (
        line
        for line in seen.head.split(b"\r\n")
        if line.lower().startswith(b"pomeloward-request-id:")
    )
    return line.partition(b":")[2].strip().decode()


def _refusal(request_id):
    return (
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\nRun-State: not_run\r\n"
        f"Pomeloward-Request-Id: {request_id}\r\n\r\n"
    ).encode()


async def test_order_with_unknown_run_is_not_sent_again(tmp_path):
    """Guards against an order that runs twice after a lost connection."""

    async def vanish(stream, seen):
        if seen.head.startswith(b"POST"):
            await stream.aclose()
        else:
            await harness.answer(b'{"run": "unknown"}')(stream, seen)

    async with (
        harness.running(tmp_path, vanish, vanish) as (host, targets),
        httpx.AsyncClient() as caller,
    ):
        first = await caller.post(
            host.url + "/order", headers=_ORDER, content=b"x"
        )
        again = await caller.post(
            host.url + "/order", headers=_ORDER, content=b"x"
        )
    assert first.status_code == 502
    assert first.json()["run"] == "unknown"
    assert again.json()["run"] == "unknown"
    runs = [
        seen
        for target in targets
        for seen in target.seen
        if seen.head.startswith(b"POST")
    ]
    assert len(runs) == 1


async def test_repeated_order_gets_the_recorded_answer(tmp_path):
    """Guards against a second run for a caller's repeat."""
    async with (
        harness.running(tmp_path, harness.answer(b"done")) as (host, targets),
        httpx.AsyncClient() as caller,
    ):
        answers = [
            await caller.post(
                host.url + "/order", headers=_ORDER, content=b"x"
            )
            for _ in range(3)
        ]
        other = await caller.post(
            host.url + "/order", headers=_ORDER, content=b"y"
        )
    assert [answer.text for answer in answers] == ["done"] * 3
    assert other.json()["kind"] == "order_conflict"
    assert len(targets[0].seen) == 1


async def test_cancelled_order_can_be_sent_again(tmp_path):
    """Guards against an order left unknown though it never started."""

    async def respond(stream, seen):
        if seen.head.startswith(b"DELETE"):
            await harness.answer(b'{"run": "not_run"}')(stream, seen)
        elif b"deadline-ms: 1" in seen.head.lower():
            await anyio.sleep_forever()
        else:
            await harness.answer(b"done")(stream, seen)

    async with (
        harness.running(tmp_path, respond, respond) as (host, _),
        httpx.AsyncClient() as caller,
    ):
        await caller.get(host.url + "/open/warm")
        late = await caller.post(
            host.url + "/order",
            headers=_ORDER | {"Pomeloward-Deadline-Ms": "199"},
            content=b"x",
        )
        assert late.json()["run"] == "not_run"
        again = await caller.post(
            host.url + "/order", headers=_ORDER, content=b"x"
        )
        assert again.text == "done"


async def test_caller_that_leaves_cancels_at_the_target(tmp_path):
    """Guards against work that goes on for a caller who has gone."""

    async def respond(stream, seen):
        await stream.receive()

    request = (
        b"GET /read HTTP/1.1\r\nHost: a\r\nX-Api-Key: "
        + harness.KEY.encode()
        + b"\r\n\r\n"
    )
    async with harness.running(tmp_path, respond) as (host, targets):
        stream = await anyio.connect_tcp("127.0.0.1", host.port)
        await stream.send(request)
        await targets[0].wait_seen(1)
        await stream.aclose()
        with anyio.fail_after(3):
            await targets[0].disconnected.wait()


async def test_deadline_is_passed_on_and_kept(tmp_path):
    """Guards against a caller that waits beyond its deadline."""

    async def respond(stream, seen):
        await anyio.sleep_forever()

    async with (
        harness.running(tmp_path, respond) as (host, targets),
        httpx.AsyncClient() as caller,
    ):
        with anyio.fail_after(2):
            response = await caller.get(
                host.url + "/read",
                headers=_HEADERS | {"Pomeloward-Deadline-Ms": "900"},
            )
    assert response.status_code == 504
    assert response.json()["run"] == "unknown"
    (line,) = [
        line
        for line in targets[0].seen[0].head.lower().split(b"\r\n")
        if line.startswith(b"pomeloward-deadline-ms")
    ]
    assert 0 < int(line.partition(b":")[2]) <= 900


async def test_body_is_streamed_and_bounded(tmp_path):
    """Guards against a body that is changed, or grows without limit."""

    async def upload(count):
        for _ in range(count):
            yield b"x" * 1000

    limits = {"body_bytes": 500_000}
    async with (
        harness.running(tmp_path, harness.answer(), limits=limits) as (
            host,
            targets,
        ),
        httpx.AsyncClient() as caller,
    ):
        good = await caller.put(
            host.url + "/read", headers=_HEADERS, content=upload(400)
        )
        assert good.status_code == 200
        assert targets[0].seen[0].body == b"x" * 400_000
        large = await caller.put(
            host.url + "/read", headers=_HEADERS, content=upload(600)
        )
        assert large.status_code == 413
        # A part of it had been sent when its size showed.
        assert large.json()["run"] == "unknown"
        declared = await caller.put(
            host.url + "/read", headers=_HEADERS, content=b"x" * 600_000
        )
        assert declared.status_code == 413
    assert json.loads(declared.text)["run"] == "not_run"
