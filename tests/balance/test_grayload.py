"""Plays loads on a service with a target that fails a part of its requests."""

import heapq
import random

import pytest

from pomeloward import balance
from tests.balance import factories

_TARGET_COUNT = 9
_RATE_PER_S = 36.0
_RUN_MS = 180.0
_ERROR_MS = 4.0
_ERROR_RATIO = 0.6
_GRAY_FROM_MS = 5_000.0
_GRAY_MS = 5_000.0


def _play_orders(seed):
    """Send orders for 12 s; return how many the gray target failed.

    Its errors come faster than good answers, as from a process that has lost
    its database.
    """
    rng = random.Random(seed)
    balancer = factories.make_balancer(
        [factories.make_target(f"n{n}") for n in range(_TARGET_COUNT)],
        seed=seed,
    )
    route = factories.make_route()
    failed_count = 0
    ends = []
    now_ms = 0.0
    while now_ms < 12_000.0:
        now_ms += rng.expovariate(_RATE_PER_S) * 1_000
        while ends and ends[0][0] <= now_ms:
            end_ms, _, attempt, outcome = heapq.heappop(ends)
            balancer.end_attempt(attempt, outcome, end_ms, route)
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, route, (), False, now_ms
        )
        if attempt is None:
            continue
        is_gray = (
            attempt.target_id == "n0"
            and _GRAY_FROM_MS <= now_ms < _GRAY_FROM_MS + _GRAY_MS
        )
        is_error = is_gray and rng.random() < _ERROR_RATIO
        failed_count += is_error
        outcome = balance.Outcome.ERROR if is_error else balance.Outcome.OK
        run_ms = _ERROR_MS if is_error else _RUN_MS * rng.uniform(0.7, 1.3)
        heapq.heappush(ends, (now_ms + run_ms, id(attempt), attempt, outcome))
    return failed_count


@pytest.mark.parametrize("seed", range(5))
def test_gray_target_fails_few_orders(seed):
    """An order can't be repeated, so that each error is a lost order.

    Detection has 3 s; a target gets four orders a second here, and one error
    has to keep further ones away while other targets have free slots.
    """
    assert _play_orders(seed) <= 3
