"""Tests of a part of a second answer in front of the answer that is due."""

import anyio
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_REASONS = {200: "OK", 500: "Internal Server Error", 503: "Unavailable"}


def _answer(status, request, extra=()):
    body = f"{status} for {request}"
    lines = [
        f"HTTP/1.1 {status} {_REASONS[status]}",
        "Date: Sat, 05 Dec 2026 10:00:00 GMT",
        f"X-Request-Id: {request}",
        "X-Upstream-Signature: 1.2.3",
        *extra,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", body]).encode()


_REFUSAL = (503, ("X-Not-Executed: 1",))
_SUCCESS = (200, ())
_FAILURE = (500, ())
_CUTS = range(0, len(_answer(*_SUCCESS[:1], "q00000001")), 3)


class _Stuttering:
    """Answers two requests of a connection, and a part of the first twice.

    The first ``cut`` bytes of the first answer come once more: ``behind``
    it in the same write, ``idle`` a little later, or ``late``, when the
    second request has come.
    """

    def __init__(self, first, second, when, cut):
        self._answers = (first, second)
        self._when = when
        self._cut = cut
        self._parts = {}
        self.answered = {}

    async def __call__(self, server, stream, request, headers):
        part = self._parts.pop(stream, None)
        status, extra = self._answers[part is not None]
        self.answered[request] = status
        if status != 503:
            server.ran.append(request)
        answer = _answer(status, request, extra)
        if part is not None:
            if self._when == "late":
                await stream.send(part)
                await anyio.sleep(0.005)
            await stream.send(answer)
            return
        part = self._parts[stream] = answer[: self._cut]
        if self._when == "behind":
            await stream.send(answer + part)
            return
        await stream.send(answer)
        if self._when == "idle":
            await anyio.sleep(0.002)
            await stream.send(part)


async def _play(world, first, second, when):
    """Return the statuses of callers and of targets for each order."""
    statuses = []
    async with world.running(names=("s1",)):
        server = world.servers["s1"]
        for cut in _CUTS:
            server.behave = stuttering = _Stuttering(first, second, when, cut)
            for _ in range(2):
                response = await world.request("POST", "/order/", content=b"x")
                request = response.request.headers["x-request-id"]
                await anyio.sleep(0.005)
                statuses.append(
                    (cut, response.status_code, request, stuttering.answered)
                )
            # The next part is for a new connection.
            server.behave = servers.close
            await world.request("POST", "/order/", content=b"x")
    return statuses


@pytest.mark.parametrize("when", ["behind", "idle", "late"])
async def test_failure_behind_a_part_of_a_success_is_no_success(world, when):
    """Callers got a success where the target had answered 500."""
    statuses = await _play(world, _SUCCESS, _FAILURE, when)
    wrong = [
        (cut, request)
        for cut, status, request, answered in statuses
        if status == 200 and answered.get(request) != 200
    ]
    assert not wrong


@pytest.mark.parametrize("when", ["behind", "idle", "late"])
async def test_success_behind_a_part_of_a_refusal_is_no_refusal(world, when):
    """Callers were told that an order that a target ran had not run."""
    statuses = await _play(world, _REFUSAL, _SUCCESS, when)
    wrong = [
        (cut, request)
        for cut, status, request, _ in statuses
        if status in (408, 421, 429, 503) and request in world.ran()
    ]
    assert not wrong
    assert len(world.ran()) == len(set(world.ran()))
