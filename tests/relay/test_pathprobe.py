"""Tests of what a check of the path to targets costs and finds."""

import random

import anyio
import pytest

from pomeloward import relay
from tests.balance import factories

pytestmark = pytest.mark.anyio

_TARGETS = [factories.make_target(f"t{number}") for number in range(9)]


class _Targets:
    """Targets that accept connections after a while, or never."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.tried_count = 0

    async def accepts_connections(self, target):
        self.tried_count += 1
        await anyio.sleep(self.delay_s)
        return True


async def test_check_of_a_good_path_opens_one_connection():
    """Checks made a third more connections to targets on a quiet day."""
    targets = _Targets(0.001)
    probe = relay.PathProbe(targets, lambda: _TARGETS, random.Random(1))
    assert await probe.connects_to_any()
    assert targets.tried_count == 1


async def test_check_of_a_lost_path_ends_soon_and_tries_several_targets():
    targets = _Targets(10.0)
    probe = relay.PathProbe(targets, lambda: _TARGETS, random.Random(1))
    with anyio.fail_after(0.3):
        assert not await probe.connects_to_any()
    assert targets.tried_count >= 5


async def test_check_of_leaving_targets_only_has_nothing_to_try():
    leaving = [factories.make_target("t", is_leaving=True)]
    probe = relay.PathProbe(_Targets(0.0), lambda: leaving, random.Random(1))
    assert not probe.has_targets()
