"""The budgets of all services on one host."""

import anyio

from pomeloward import model
from pomeloward.dispatch import hedgebudget
from pomeloward.dispatch import retrybudget


class Budgets:
    """Makes the retry and hedge budget of a service on first use."""

    def __init__(self) -> None:
        self._retry: dict[model.ServiceId, retrybudget.RetryBudget] = {}
        self._hedge: dict[model.ServiceId, hedgebudget.HedgeBudget] = {}

    def retry(self, service: model.ServiceId) -> retrybudget.RetryBudget:
        """Return the retry budget of a service."""
        found = self._retry.get(service)
        if found is None:
            found = retrybudget.RetryBudget(anyio.current_time() * 1_000)
            self._retry[service] = found
        return found

    def hedge(self, service: model.ServiceId) -> hedgebudget.HedgeBudget:
        """Return the hedge budget of a service."""
        found = self._hedge.get(service)
        if found is None:
            found = hedgebudget.HedgeBudget()
            self._hedge[service] = found
        return found
