"""Tests of bodies that several attempts read."""

import collections

import anyio
import pytest

from pomeloward import entry

pytestmark = pytest.mark.anyio

_REPLAY_BYTES = 10


class Caller:
    """Sends chunks when a test lets it, and the end after the last one."""

    def __init__(self, *chunks):
        self._chunks = collections.deque(chunks)
        self.may_send = anyio.Semaphore(0)

    def allow(self, count):
        for _ in range(count):
            self.may_send.release()

    async def receive(self):
        await self.may_send.acquire()
        chunk = self._chunks.popleft()
        return {
            "type": "http.request",
            "body": chunk,
            "more_body": bool(self._chunks),
        }


def _make(*chunks):
    caller = Caller(*chunks)
    return caller, entry.RequestBody(caller.receive, 1_000, _REPLAY_BYTES)


async def _read(body):
    return [chunk async for chunk in body.chunks()]


async def test_body_on_its_way_belongs_to_the_newest_attempt():
    caller, body = _make(b"ab", b"cd", b"ef")
    caller.allow(1)
    first = body.chunks()
    assert await anext(first) == b"ab"
    assert body.can_replay and not body.can_share
    second = body.chunks()
    assert await anext(second) == b"ab"
    caller.allow(2)
    assert await anext(second) == b"cd"
    assert await anext(first) == b"cd"
    with pytest.raises(entry.BodyNotReadable):
        await anext(first)
    assert [chunk async for chunk in second] == [b"ef"]
    assert body.can_share
    assert await _read(body) == [b"ab", b"cd", b"ef"]


async def test_body_that_outgrows_its_buffer_is_read_by_one_attempt_only():
    caller, body = _make(b"a" * 6, b"b" * 6, b"c")
    caller.allow(3)
    first = body.chunks()
    assert await anext(first) == b"a" * 6
    assert await anext(first) == b"b" * 6
    assert not body.can_replay and not body.can_share
    with pytest.raises(entry.BodyNotReadable):
        await _read(body)
    assert [chunk async for chunk in first] == [b"c"]
    assert body.is_ended and not body.can_share
    with pytest.raises(entry.BodyNotReadable):
        await _read(body)


async def test_older_attempt_does_not_read_on_after_the_buffer_is_given_up():
    caller, body = _make(b"a" * 6, b"b" * 6, b"c")
    caller.allow(1)
    older = body.chunks()
    assert await anext(older) == b"a" * 6
    newest = body.chunks()
    assert await anext(newest) == b"a" * 6
    caller.allow(2)
    assert await anext(newest) == b"b" * 6
    with pytest.raises(entry.BodyNotReadable):
        await anext(older)
    assert await anext(newest) == b"c"


async def test_body_that_is_stopped_does_not_seem_to_have_ended():
    """A receiver of chunks would take the part for the whole."""
    caller, body = _make(b"ab", b"cd")
    caller.allow(1)
    chunks = body.chunks()
    assert await anext(chunks) == b"ab"
    body.stop()
    assert not body.can_share
    with pytest.raises(entry.BodyNotReadable):
        await anext(chunks)


async def test_stop_after_the_end_leaves_the_body_readable():
    caller, body = _make(b"ab", b"cd")
    caller.allow(2)
    assert await _read(body) == [b"ab", b"cd"]
    body.stop()
    assert await _read(body) == [b"ab", b"cd"]
