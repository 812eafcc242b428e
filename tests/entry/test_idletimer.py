"""Tests of the limits on waits for a request."""

import anyio
import pytest

from pomeloward import entry
from pomeloward.entry import idletimer

pytestmark = pytest.mark.anyio


class Waiting:
    """A timer whose limits tests change, and what it did."""

    def __init__(self, idle_s, head_s):
        self.times = entry.CallerTimes(idle_s, head_s)
        self.fired = []
        self.timer = idletimer.IdleTimer(lambda: self.times)

    async def idle_end(self):
        self.fired.append("idle")

    async def head_end(self):
        self.fired.append("head")


async def test_head_has_its_own_limit_from_its_first_byte():
    waiting = Waiting(idle_s=5.0, head_s=0.1)
    await waiting.timer.restart(None, waiting.idle_end)
    await anyio.sleep(0.2)
    assert not waiting.fired
    waiting.timer.begin_head(waiting.head_end)
    await anyio.sleep(0.07)
    waiting.timer.begin_head(waiting.head_end)
    await anyio.sleep(0.08)
    assert waiting.fired == ["head"]


async def test_whole_head_ends_the_wait():
    waiting = Waiting(idle_s=0.1, head_s=0.1)
    await waiting.timer.restart(None, waiting.idle_end)
    waiting.timer.begin_head(waiting.head_end)
    await waiting.timer.stop()
    waiting.timer.begin_head(waiting.head_end)
    await anyio.sleep(0.2)
    assert not waiting.fired


async def test_limit_that_grows_prolongs_a_wait():
    """Callers use a connection up to the limit of the configuration."""
    waiting = Waiting(idle_s=0.1, head_s=1.0)
    await waiting.timer.restart(None, waiting.idle_end)
    waiting.times = entry.CallerTimes(0.4, 1.0)
    await anyio.sleep(0.25)
    assert not waiting.fired
    await anyio.sleep(0.25)
    assert waiting.fired == ["idle"]


async def test_limit_that_shrinks_holds_from_the_next_wait_on():
    """A caller counts on the limit that it knew when it last asked."""
    waiting = Waiting(idle_s=0.4, head_s=1.0)
    await waiting.timer.restart(None, waiting.idle_end)
    waiting.times = entry.CallerTimes(0.1, 1.0)
    await anyio.sleep(0.25)
    assert not waiting.fired
    await waiting.timer.restart(None, waiting.idle_end)
    await anyio.sleep(0.25)
    assert waiting.fired == ["idle"]
