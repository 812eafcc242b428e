"""Tests of what a host holds of answers, in a process of its own."""

import anyio
import pytest

from tests.platform.memory import world as worlds

pytestmark = pytest.mark.anyio

_CALLERS = 300
_LOAD_S = 6.0
# The route of the calls ends after 3 s.
_END_S = 3.5
# A host of the users has 300 MB in all, for its system as well.
_MAX_RESIDENT_MB = 96


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_answers_without_end_to_300_callers_fit_in_96_mb(tmp_path):
    """A host kept what targets sent without end until it had no memory.

    Callers of a sound service got no answer meanwhile.
    """
    world = worlds.World(tmp_path)
    async with world.running(["length", "chunks", "huge-chunk"]):
        peak_mb, sound = await world.load("harmful", _CALLERS, _LOAD_S)
        assert peak_mb <= _MAX_RESIDENT_MB
        assert sound["statuses"]
        assert set(sound["statuses"]) == {200}
        await anyio.sleep(_END_S)
        assert await world.metric("pomeloward_held_response_bytes") == 0


async def test_interim_answers_without_end_keep_no_other_caller_waiting(
    tmp_path,
):
    """The event loop read them until the deadlines of their requests."""
    world = worlds.World(tmp_path)
    async with world.running(["interim"]):
        _, sound = await world.load("read", 60, _LOAD_S)
        assert set(sound["statuses"]) == {200}
