"""Bounds the repeats of one service on one host."""

# Of the ratio that the operators allow, so that requests which are counted
# a little later at the targets than here stay within it.
_USED_RATIO = 0.8


class RetryBudget:
    """A token bucket that requests fill and repeats empty.

    Over any window, repeats are at most ``reserve`` and the ratio of the
    requests in it. The reserves of all active hosts together are the slack
    that the operators allow, so no host needs to know the others' repeats.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio * _USED_RATIO
        self._reserve = reserve
        self._tokens = reserve

    def configure(self, ratio: float, reserve: float) -> None:
        """Take a changed ratio and share of the slack."""
        self._ratio = ratio * _USED_RATIO
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def on_request(self) -> None:
        """Add the share of one request."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def has(self, requests: float) -> bool:
        """Tell whether as many repeats are left."""
        return self._tokens >= requests

    @property
    def is_half_full(self) -> bool:
        """Whether more repeats are left than failures may soon need."""
        return self._tokens >= max(1.0, self._reserve / 2)

    def try_take(self) -> bool:
        """Take one repeat if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
