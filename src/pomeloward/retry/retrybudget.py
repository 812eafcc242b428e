"""Retry budget of one service on one host."""

# Targets count a request a little later than this host does. Using only this
# part of the operators' retry ratio keeps retries within the ratio by the
# targets' count, too.
_RETRY_RATIO_FACTOR = 0.8
# Part of the capacity that backup attempts leave to retries of failures.
_FAILURE_RESERVE_RATIO = 0.25


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    A request adds a part of a token. A retry takes a whole one, be it sent
    after a failed attempt or beside a slow one, unless it replaces an
    attempt that could not reach its target. Over any window, the retries
    that take a token are at most ``capacity_tokens`` plus ``retry_ratio`` of
    the requests in it.

    The capacity is this host's share of the retry slack, a number of retries
    that the operators allow beyond the ratio. All active hosts share it, so
    no host needs to know how often the others retry.
    """

    def __init__(
        self, retry_ratio: float, capacity_tokens: float, tokens: float
    ) -> None:
        self._tokens_per_request = retry_ratio * _RETRY_RATIO_FACTOR
        self._capacity_tokens = capacity_tokens
        self._tokens = min(tokens, capacity_tokens)

    def update_limits(
        self, retry_ratio: float, capacity_tokens: float
    ) -> None:
        """Change the limits; tokens above the new capacity are lost."""
        self._tokens_per_request = retry_ratio * _RETRY_RATIO_FACTOR
        self._capacity_tokens = capacity_tokens
        self._tokens = min(self._tokens, capacity_tokens)

    def empty(self) -> None:
        """Take all tokens."""
        self._tokens = 0.0

    def refill_for_request(self) -> None:
        """Add the part of a token that one request earns."""
        self._tokens = min(
            self._capacity_tokens, self._tokens + self._tokens_per_request
        )

    def has_tokens(self, min_tokens: float) -> bool:
        """Tell whether at least ``min_tokens`` are left."""
        return self._tokens >= min_tokens

    @property
    def allows_backup(self) -> bool:
        """Whether a backup attempt leaves tokens for failed requests.

        A failed request is lost without a retry, while a slow one usually
        gets its answer.
        """
        reserve = self._capacity_tokens * _FAILURE_RESERVE_RATIO
        return self._tokens >= 1.0 + reserve

    @property
    def is_half_full(self) -> bool:
        """Whether at least half of the capacity, and one token, is left.

        That is more than failed requests may soon need for their retries.
        """
        return self._tokens >= max(1.0, self._capacity_tokens / 2)

    def try_take_token(self) -> bool:
        """Take the token for one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
