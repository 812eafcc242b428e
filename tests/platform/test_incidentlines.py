"""Tests of the lines that lead from a wrong answer to its cause.

docs/OPERATIONS.md follows them in "A caller got a success where the target
had failed".
"""

import re

import anyio
import pytest

from tests.platform import log
from tests.platform import server as servers

pytestmark = pytest.mark.anyio

_CONNECTION = re.compile(r"\(connection (\d+) request (\d+)\)$")


def _answer(request, status=200):
    return servers.head(request, status, 2) + b"ok"


class _Repeating:
    """Answers two requests of a connection with given bytes.

    ``first`` and ``second`` make them from the ids of both requests.
    """

    def __init__(self, first, second):
        self._writes = (first, second)
        self._ids = []

    async def __call__(self, server, stream, request, headers):
        self._ids.append(request)
        writes = self._writes[min(len(self._ids), 2) - 1](*self._ids[:2])
        for data in writes:
            await stream.send(data)
            # A second write is not a part of the same read.
            await anyio.sleep(0.05)


async def _play(world, first, second):
    """Return statuses, request lines and stray lines of two orders."""
    statuses = []
    with log.captured_lines() as lines:
        async with world.running(names=("s1",)):
            world.servers["s1"].behave = _Repeating(first, second)
            for _ in range(2):
                response = await world.request("POST", "/order/")
                statuses.append(response.status_code)
                await anyio.sleep(0.1)
    return (
        statuses,
        log.lines_of_type(lines, "request"),
        log.lines_of_type(lines, "connection:stray_bytes"),
    )


def _uses(request_lines):
    """Return connection and number of the last attempt of each request."""
    return [
        tuple(map(int, _CONNECTION.search(line["attempts"][-1]).groups()))
        for line in request_lines
    ]


async def test_lines_show_two_answers_read_as_one(world):
    statuses, requests, _ = await _play(
        world,
        lambda one: [_answer(one)],
        lambda one, two: [b"HTTP/1.1 200 O" + _answer(two, 500)],
    )
    assert statuses == [200, 502]
    (port, first), (same_port, second) = _uses(requests)
    assert (port, first, second) == (same_port, 1, 2)
    assert (
        "RemoteProtocolError: the head has two status lines"
        in requests[1]["attempts"][0]
    )


async def test_lines_show_an_answer_to_another_request(world):
    statuses, requests, strays = await _play(
        world,
        lambda one: [_answer(one)],
        lambda one, two: [_answer(one) + _answer(two, 500)],
    )
    assert statuses == [200, 500]
    (port, _), (same_port, _) = _uses(requests)
    assert port == same_port
    (stray,) = strays
    assert (stray["place"], stray["connection"], stray["request_number"]) == (
        "before_answer",
        port,
        2,
    )
    assert (stray["request"], stray["status"]) == (
        requests[0]["request"],
        200,
    )


@pytest.mark.parametrize("place", ["behind_answer", "idle"])
async def test_lines_show_a_failure_that_came_after_a_success(world, place):
    """A target answered a success first and a failure later."""

    def answer_twice(one, two=None):
        answers = [_answer(two or one), _answer(two or one, 500)]
        return [b"".join(answers)] if place == "behind_answer" else answers

    statuses, requests, strays = await _play(world, answer_twice, answer_twice)
    assert statuses == [200, 200]
    uses = _uses(requests)
    assert uses[0][1] == uses[1][1] == 1
    stray = strays[0]
    assert (stray["server"], stray["place"]) == ("s1", place)
    assert (stray["connection"], stray["request_number"]) == uses[0]
    assert (stray["request"], stray["status"]) == (
        requests[0]["request"],
        500,
    )


async def test_line_tells_that_a_target_is_about_to_stop(world):
    with log.captured_lines() as lines:
        async with world.running(names=("s1",)):
            world.servers["s1"].behave = servers.leaving
            await world.get("/safe/")
    (line,) = log.lines_of_type(lines, "target:notice")
    assert (line["target"], line["is_leaving"]) == ("s1", True)


async def test_line_names_both_targets_of_a_repeated_lookup(world):
    """A success of one target was taken for that of the one that failed."""
    with log.captured_lines() as lines:
        async with world.running():
            for name in ("s1", "s2"):
                world.servers[name].behave = _fail_first(world)
            response = await world.get("/safe/")
    assert response.status_code == 200
    (line,) = log.lines_of_type(lines, "request")
    failed, answered = line["attempts"]
    assert " error " in failed
    assert " answered 500 (connection " in failed
    assert " ok " in answered
    assert " answered 200 (connection " in answered
    assert failed.split()[0] != answered.split()[0]


def _fail_first(world):
    """Return a behavior that fails unless a target has run a request."""

    async def behave(server, stream, request, headers):
        answers = servers.answer if world.ran() else servers.fail
        await answers(server, stream, request, headers)

    return behave
