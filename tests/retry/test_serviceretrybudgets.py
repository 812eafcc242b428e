"""Tests of the bounds that retry budgets put on retries."""

import random

import pytest

from pomeloward import model
from pomeloward import retry

_SERVICE_ID = model.ServiceId("orders")
_RETRY_RATIO = 0.2
_RETRY_SLACK = 64.0


@pytest.mark.parametrize("host_count", [1, 4, 12])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_retries_of_all_hosts_stay_within_ratio_and_slack(host_count, seed):
    """Guards against a burst of retries when a service starts to fail.

    The budgets have filled while all requests succeeded. Then every request
    fails and is retried up to three times.
    """
    rng = random.Random(seed)
    fleet_budgets = [
        retry.ServiceRetryBudgets(_RETRY_RATIO, _RETRY_SLACK, True)
        for _ in range(host_count)
    ]
    for host_budgets in fleet_budgets:
        host_budgets.update_limits(
            _RETRY_RATIO, _RETRY_SLACK, host_count, True
        )
    requests = []
    for second in range(60):
        is_failing = 20 <= second < 45
        for _ in range(80):
            budget = rng.choice(fleet_budgets).budget_for(_SERVICE_ID)
            budget.refill_for_request()
            retries = 0
            while is_failing and retries < 3 and budget.try_take_token():
                retries += 1
            requests.append((second, retries))
    for start_s in range(50):
        window = [
            request
            for request in requests
            if start_s <= request[0] < start_s + 10
        ]
        retries = sum(count for _, count in window)
        assert retries <= _RETRY_RATIO * len(window) + _RETRY_SLACK


def test_service_without_earlier_requests_may_retry():
    budgets = retry.ServiceRetryBudgets(_RETRY_RATIO, _RETRY_SLACK, True)
    assert budgets.budget_for(_SERVICE_ID).try_take_token()


@pytest.mark.parametrize("is_restart", [False, True])
def test_retries_stay_within_bounds_while_callers_move_between_hosts(
    is_restart,
):
    """Each host that callers moved to brought a full budget of its own.

    After a restart of all hosts, 36 of them had one, and the retries of a
    look-up service exceeded their bound (Stoyp Nord, trouble-3).
    """
    fleet_budgets = [
        retry.ServiceRetryBudgets(_RETRY_RATIO, _RETRY_SLACK, not is_restart)
        for _ in range(36)
    ]
    requests = retries = 0
    for second in range(10):
        active = {second, second + 10, second + 20}
        for number, host_budgets in enumerate(fleet_budgets):
            host_budgets.update_limits(
                _RETRY_RATIO, _RETRY_SLACK, 3, number in active
            )
        for number, host_budgets in enumerate(fleet_budgets):
            # Some callers still use the addresses of other hosts.
            for _ in range(15 if number in active else 1):
                budget = host_budgets.budget_for(_SERVICE_ID)
                budget.refill_for_request()
                requests += 1
                while budget.try_take_token():
                    retries += 1
    assert retries <= _RETRY_RATIO * requests + _RETRY_SLACK


def test_backup_attempts_leave_retries_for_failures():
    """Look-ups ended with a target's error, since slow ones had spent all."""
    budgets = retry.ServiceRetryBudgets(_RETRY_RATIO, _RETRY_SLACK, True)
    budgets.update_limits(_RETRY_RATIO, _RETRY_SLACK, 3, True)
    budget = budgets.budget_for(_SERVICE_ID)
    while budget.allows_backup:
        assert budget.try_take_token()
    failure_retries = 0
    while budget.try_take_token():
        failure_retries += 1
    assert failure_retries >= 3


def test_restarted_hosts_that_know_no_others_have_no_slack_yet():
    """Right after a restart each host counts itself as the only one."""
    requests = retries = 0
    for _ in range(36):
        budgets = retry.ServiceRetryBudgets(_RETRY_RATIO, _RETRY_SLACK, False)
        budgets.update_limits(_RETRY_RATIO, _RETRY_SLACK, 1, True)
        for _ in range(5):
            budget = budgets.budget_for(_SERVICE_ID)
            budget.refill_for_request()
            requests += 1
            while budget.try_take_token():
                retries += 1
    assert retries <= _RETRY_RATIO * requests + _RETRY_SLACK
