"""Tests of background tasks that fail."""

import itertools

import anyio
import trio
import trio.testing

from pomeloward.edge import supervisor
from tests.platform import log


def test_failed_task_is_run_again_and_logged():
    """An error in one background task ended the process."""
    ran_at_s = []

    async def fail_three_times():
        ran_at_s.append(anyio.current_time())
        await anyio.sleep(0.1)
        if len(ran_at_s) <= 3:
            raise OverflowError("too large")

    with log.captured_lines() as lines:
        trio.run(
            supervisor.run_supervised,
            "poller",
            fail_three_times,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    assert len(ran_at_s) == 4
    pauses_s = [b - a for a, b in itertools.pairwise(ran_at_s)]
    assert min(pauses_s) > 0.2
    failures = log.lines_of_type(lines, "task:failed")
    assert [(one["task"], one["reason"]) for one in failures] == [
        ("poller", "OverflowError")
    ] * 3


def test_supervised_task_can_be_cancelled():
    async def main():
        with anyio.move_on_after(1.0) as scope:
            await supervisor.run_supervised("sleep", anyio.sleep_forever)
        assert scope.cancelled_caught

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
