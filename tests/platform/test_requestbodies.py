"""Tests that targets run requests with the bodies that callers sent."""

import hashlib
import random

import anyio
import pytest

from tests.platform import log

pytestmark = pytest.mark.anyio

_CHUNK_BYTES = 15_360
_BASE_CALLS = 12


def _make_chunks(size_bytes):
    body = random.Random(size_bytes).randbytes(size_bytes)
    return [
        body[start : start + _CHUNK_BYTES]
        for start in range(0, size_bytes, _CHUNK_BYTES)
    ]


async def _send_slowly(chunks, pause_s, pause_count):
    """Yield chunks with pauses spread over the second half of them."""
    half = len(chunks) // 2
    step = max(1, (len(chunks) - half) // pause_count)
    for number, chunk in enumerate(chunks):
        if number >= half and (number - half) % step == 0:
            await anyio.sleep(pause_s)
        yield chunk


def _digest(chunks):
    return hashlib.sha256(b"".join(chunks)).hexdigest()


async def _upload(world, chunks, has_length, pause_s=0.3, pause_count=3):
    """Upload a body; return the response and the digests that targets got."""
    headers = {}
    if has_length:
        headers["Content-Length"] = str(sum(map(len, chunks)))
    response = await world.request(
        "PUT",
        "/safe/x",
        headers=headers,
        content=_send_slowly(chunks, pause_s, pause_count),
    )
    request_id = response.headers["x-request-id"]
    return response, [
        hashlib.sha256(body).hexdigest()
        for one_id, _, body in world.seen()
        if one_id == request_id
    ]


@pytest.mark.parametrize("has_length", [False, True])
@pytest.mark.parametrize(
    "size_bytes", [1, 100_000, 200_000, 245_760, 262_144, 300_000, 1_200_000]
)
async def test_backup_attempt_takes_no_part_of_a_body_on_its_way(
    world, size_bytes, has_length
):
    """Targets ran bodies with chunks missing that a second attempt took."""
    async with world.running(names=("s1", "s2", "s3")):
        for _ in range(_BASE_CALLS):
            assert (await world.get("/safe/")).status_code == 200
        chunks = _make_chunks(size_bytes)
        for _ in range(3):
            response, digests = await _upload(world, chunks, has_length)
            assert response.status_code == 200
            assert set(digests) == {_digest(chunks)}


@pytest.mark.parametrize("size_bytes", [30_000, 600_000])
async def test_body_that_comes_too_late_is_answered_at_the_deadline(
    world, size_bytes
):
    """Callers with slow uploads waited for as long as these took."""
    with log.captured_lines() as lines:
        async with world.running():
            chunks = _make_chunks(size_bytes)
            response, _ = await _upload(world, chunks, False, 2.6, 1)
    # The client reads the response only after its last chunk.
    (line,) = log.lines_of_type(lines, "request")
    assert 1_900 < line["took_ms"] < 2_400
    assert response.status_code == (503 if size_bytes < 131_072 else 504)
    assert response.headers["connection"] == "close"


async def test_kept_body_gets_a_backup_attempt_once_it_is_here(world):
    async with world.running(names=("s1", "s2", "s3")):
        for _ in range(_BASE_CALLS):
            assert (await world.get("/safe/")).status_code == 200
        slow = world.servers["s1"]
        usual = slow.behave

        async def be_slow(*arguments):
            await anyio.sleep(1.5)
            await usual(*arguments)

        for server in world.servers.values():
            server.behave = be_slow
        world.servers["s3"].behave = usual
        chunks = _make_chunks(200_000)
        attempts = 0
        for _ in range(4):
            response, digests = await _upload(world, chunks, False, 0.1)
            assert response.status_code == 200
            assert set(digests) <= {_digest(chunks)}
            attempts = max(attempts, len(digests))
        assert attempts == 2
