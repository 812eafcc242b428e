"""Decides whether a failed attempt is made again elsewhere."""

from pomeloward import model
from pomeloward.dispatch import failure as failures
from pomeloward.dispatch import retrybudget

# More attempts only help when several targets fail at once, and then the
# budget is what protects the rest.
MAX_ATTEMPTS = 4


def should_retry(
    failure: failures.Failure,
    is_idempotent: bool,
    can_replay: bool,
    attempts: int,
    budget: retrybudget.RetryBudget,
    now_ms: float,
    deadline_ms: float,
) -> bool:
    """Tell whether another attempt is allowed, and take its budget.

    A request that is not idempotent is only sent again with a proof that
    the attempt did not run.
    """
    if failure.is_final or (failure.proof is None and not is_idempotent):
        return False
    if not can_replay or attempts >= MAX_ATTEMPTS or now_ms >= deadline_ms:
        return False
    if failure.refusal.kind is model.ErrorKind.NO_CAPACITY:
        # Nothing was sent, so that no target gets additional load.
        return True
    return budget.try_take(now_ms)
