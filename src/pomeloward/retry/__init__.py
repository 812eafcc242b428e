"""Retry budgets, which bound how many requests are sent to targets again."""

from pomeloward.retry.retrybudget import RetryBudget as RetryBudget
from pomeloward.retry.serviceretrybudgets import (
    ServiceRetryBudgets as ServiceRetryBudgets,
)
