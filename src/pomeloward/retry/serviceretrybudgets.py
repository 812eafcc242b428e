"""Retry budgets of all services on one host."""

from pomeloward import model
from pomeloward.retry import retrybudget

# Part of the fleet's retry slack that is divided among the active hosts. The
# rest is for other hosts, which get requests from callers that still use an
# outdated list of addresses.
_ACTIVE_HOSTS_SLACK_RATIO = 0.8
# A bucket that holds less than a whole token would never allow a retry.
_MIN_CAPACITY_TOKENS = 1.0


class ServiceRetryBudgets:
    """Retry budget of each service, created when it is first asked for.

    The retries of all hosts for one service may be ``retry_ratio`` of its
    requests and ``retry_slack`` more. Until ``update_limits`` is called, this
    host counts as the only active one.
    """

    def __init__(self, retry_ratio: float, retry_slack: float) -> None:
        self._retry_ratio = retry_ratio
        self._retry_slack = retry_slack
        self._active_host_count = 1
        self._budgets: dict[model.ServiceId, retrybudget.RetryBudget] = {}

    def update_limits(
        self, retry_ratio: float, retry_slack: float, active_host_count: int
    ) -> None:
        """Change the limits of all budgets.

        Callers send their requests to the active hosts, so these share the
        slack.
        """
        if (retry_ratio, retry_slack, active_host_count) == (
            self._retry_ratio,
            self._retry_slack,
            self._active_host_count,
        ):
            return
        self._retry_ratio, self._retry_slack, self._active_host_count = (
            retry_ratio,
            retry_slack,
            max(1, active_host_count),
        )
        for budget in self._budgets.values():
            budget.update_limits(retry_ratio, self._capacity_tokens)

    def budget_for(
        self, service_id: model.ServiceId
    ) -> retrybudget.RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service_id)
        if budget is None:
            budget = retrybudget.RetryBudget(
                self._retry_ratio, self._capacity_tokens
            )
            self._budgets[service_id] = budget
        return budget

    @property
    def _capacity_tokens(self) -> float:
        """Capacity of each budget: the share of the slack for one host."""
        return max(
            _MIN_CAPACITY_TOKENS,
            self._retry_slack
            * _ACTIVE_HOSTS_SLACK_RATIO
            / self._active_host_count,
        )
