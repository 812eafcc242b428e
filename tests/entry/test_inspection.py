"""Tests that malformed and ambiguous requests are refused."""

import pytest

from tests.entry import harness

pytestmark = pytest.mark.anyio

_LINE = b"POST /read HTTP/1.1\r\n"
_KEY = b"X-Api-Key: " + harness.KEY.encode() + b"\r\n"
_END = b"Host: a\r\n" + _KEY + b"\r\n"

_SHAPES = [
    (_LINE + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", b"400"),
    (_LINE + b"Content-Length: 3\r\nContent-Length: 4\r\n", b"400"),
    (_LINE + b"Content-Length: +3\r\n", b"400"),
    (_LINE + b"Transfer-Encoding: chunked, identity\r\n", b"501"),
    (_LINE + b"Transfer-Encoding: xchunked\r\n", b"501"),
    (_LINE + b"Transfer-Encoding : chunked\r\n", b"400"),
    (_LINE + b"Host: b\r\n", b"400"),
    (_LINE + b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n", b"400"),
    (_LINE + b"X-Api-Key: another-key\r\n", b"400"),
    (_LINE + b"Authorization: Bearer another-key\r\n", b"400"),
    (_LINE + b" folded: x\r\n", b"400"),
    (b"GET /a/../read HTTP/1.1\r\n", b"400"),
    (b"GET /a/%2e%2E/read HTTP/1.1\r\n", b"400"),
    (b"GET /a%2fread HTTP/1.1\r\n", b"400"),
    (b"GET http://x/read HTTP/1.1\r\n", b"400"),
    (b"GET /read HTTP/1.0\r\n", b"400"),
    (b"TRACE /read HTTP/1.1\r\n", b"400"),
    (_LINE + b"X-Large: " + b"x" * 40_000 + b"\r\n", b"431"),
    (_LINE + b"X-Many: 1\r\n" * 200, b"431"),
    (_LINE + b"Content-Length: 99999999999\r\n", b"413"),
]


async def test_ambiguous_requests_reach_no_target(tmp_path):
    """Guards against request smuggling and unbounded input."""
    async with harness.running(tmp_path, harness.answer()) as (host, targets):
        for head, status in _SHAPES:
            answer = await harness.raw_request(host.port, head + _END)
            assert answer.startswith(b"HTTP/1.1 " + status), head[:80]
            assert b"pomeloward-run: not_run" in answer, head[:80]
        good = b"GET /read HTTP/1.1\r\n" + _END
        answer = await harness.raw_request(host.port, good)
        assert answer.startswith(b"HTTP/1.1 200")
    assert len(targets[0].seen) == 1


async def test_own_headers_cannot_be_forged(tmp_path):
    """Guards against a caller that names its own team to the target."""
    request = (
        b"GET /read HTTP/1.1\r\nPomeloward-Team: admin\r\n"
        b"Connection: X-Hop\r\nX-Hop: secret\r\n" + _END
    )
    async with harness.running(tmp_path, harness.answer()) as (host, targets):
        await harness.raw_request(host.port, request)
    head = targets[0].seen[0].head.lower()
    assert b"admin" not in head
    assert b"x-hop" not in head
    assert b"pomeloward-team: team0" in head
