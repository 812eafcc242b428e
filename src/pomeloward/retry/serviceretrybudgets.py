"""Retry budgets of all services on one host."""

from pomeloward import model
from pomeloward.retry import retrybudget

# Part of the fleet's retry slack that is divided among the active hosts. The
# rest allows for requests that reach their targets later than here.
_ACTIVE_HOSTS_SLACK_RATIO = 0.8
# A bucket that holds less than a whole token would never allow a retry.
_MIN_CAPACITY_TOKENS = 1.0


class ServiceRetryBudgets:
    """Retry budget of each service, created when it is first asked for.

    The retries of all hosts for one service may be ``retry_ratio`` of its
    requests and ``retry_slack`` more. Only hosts that are active since the
    first start of the fleet have a part of the slack from the beginning.
    Others earn all their retries by requests: callers move between hosts
    when some of them restart, and the hosts before may have spent the slack.

    Until ``update_limits`` is called, this host counts as the only active
    one.
    """

    def __init__(
        self, retry_ratio: float, retry_slack: float, is_first_start: bool
    ) -> None:
        """Make budgets; ``is_first_start`` is that of the whole fleet."""
        self._retry_ratio = retry_ratio
        self._retry_slack = retry_slack
        self._active_host_count = 1
        self._is_active = True
        self._starts_full = is_first_start
        self._budgets: dict[model.ServiceId, retrybudget.RetryBudget] = {}

    def update_limits(
        self,
        retry_ratio: float,
        retry_slack: float,
        active_host_count: int,
        is_active: bool,
    ) -> None:
        """Change the limits of all budgets.

        Callers send their requests to the active hosts, so these share the
        slack. ``is_active`` tells whether this host is one of them.
        """
        active_host_count = max(1, active_host_count)
        limits = (retry_ratio, retry_slack, active_host_count, is_active)
        if limits == (
            self._retry_ratio,
            self._retry_slack,
            self._active_host_count,
            self._is_active,
        ):
            return
        (
            self._retry_ratio,
            self._retry_slack,
            self._active_host_count,
            self._is_active,
        ) = limits
        self._starts_full &= is_active
        for budget in self._budgets.values():
            budget.update_limits(retry_ratio, self._capacity_tokens)
            if not is_active:
                budget.empty()

    def budget_for(
        self, service_id: model.ServiceId
    ) -> retrybudget.RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service_id)
        if budget is None:
            tokens = self._capacity_tokens if self._starts_full else 0.0
            budget = retrybudget.RetryBudget(
                self._retry_ratio, self._capacity_tokens, tokens
            )
            self._budgets[service_id] = budget
        return budget

    @property
    def _capacity_tokens(self) -> float:
        """Capacity of each budget: the share of the slack for one host."""
        if not self._is_active:
            return _MIN_CAPACITY_TOKENS
        return max(
            _MIN_CAPACITY_TOKENS,
            self._retry_slack
            * _ACTIVE_HOSTS_SLACK_RATIO
            / self._active_host_count,
        )
