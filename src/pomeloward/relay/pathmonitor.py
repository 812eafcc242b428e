"""Decides whether this host has a path to the targets at all."""

import collections.abc

from pomeloward import balance
from pomeloward import model

# So many targets that can't be reached within this time call for a check, or
# one of them while no other answers.
_FAILED_TARGET_LIMIT = 2
_FAILURE_WINDOW_MS = 1_000.0
_NO_ANSWER_MS = 300.0
# Interval between checks while a path is known, and while it is lost.
_CHECK_INTERVAL_MS = 2_000.0
_LOST_CHECK_INTERVAL_MS = 500.0
# Good checks in a row that end the loss.
_REQUIRED_GOOD_CHECKS = 2
# How long a check that another host's loss calls for may be put off by
# answers.
_REQUEST_LIFETIME_MS = 2_000.0

OnChange = collections.abc.Callable[[bool], None]
_NO_ANSWER_OUTCOMES = frozenset(
    {balance.Outcome.UNREACHABLE, balance.Outcome.SILENT}
)


class PathMonitor:
    """Tells whether this host is cut off from all targets.

    Attempts that reach no target only suggest it: the targets may have
    crashed. So a check follows, which tries to connect to several targets.
    ``is_lost`` tells that none accepted a connection. Answers on connections
    from before don't count: no new target can be reached by these.
    """

    def __init__(
        self,
        on_change: OnChange,
        on_check_suggested: collections.abc.Callable[[], None],
    ) -> None:
        """Create a monitor of a path that isn't lost.

        ``on_change`` gets each new ``is_lost``. ``on_check_suggested`` is
        called when a check may have become due.
        """
        self.is_lost = False
        self._on_change = on_change
        self._on_check_suggested = on_check_suggested
        self._failed_at_ms: dict[model.TargetId, float] = {}
        self._answered_at_ms = float("-inf")
        self._checked_at_ms = float("-inf")
        self._requested_until_ms = float("-inf")
        self._good_checks = 0

    def record_outcome(
        self,
        target_id: model.TargetId,
        outcome: balance.Outcome,
        now_ms: float,
    ) -> None:
        """Record how an attempt ended, or that it is silent so far."""
        if outcome in _NO_ANSWER_OUTCOMES:
            self._failed_at_ms[target_id] = now_ms
            self._on_check_suggested()
        elif outcome is balance.Outcome.OK:
            self._answered_at_ms = now_ms

    def request_check(self, now_ms: float) -> None:
        """Ask for a check, since another host has lost its path.

        A host that gets answers knows its path; others have to find out
        before callers are sent to them.
        """
        self._requested_until_ms = now_ms + _REQUEST_LIFETIME_MS
        self._on_check_suggested()

    def is_watching(self, now_ms: float) -> bool:
        """Return whether a check may become due without a further event."""
        return bool(
            self.is_lost
            or self._failed_at_ms
            or now_ms < self._requested_until_ms
        )

    def is_check_due(self, now_ms: float) -> bool:
        """Return whether to try connections to targets now."""
        interval_ms = (
            _LOST_CHECK_INTERVAL_MS if self.is_lost else _CHECK_INTERVAL_MS
        )
        self._failed_at_ms = {
            target_id: at_ms
            for target_id, at_ms in self._failed_at_ms.items()
            if now_ms - at_ms <= _FAILURE_WINDOW_MS
        }
        has_no_answers = now_ms - self._answered_at_ms >= _NO_ANSWER_MS
        is_requested = now_ms < self._requested_until_ms
        is_suspected = (
            self.is_lost
            or len(self._failed_at_ms) >= _FAILED_TARGET_LIMIT
            or (has_no_answers and (is_requested or bool(self._failed_at_ms)))
        )
        return is_suspected and now_ms - self._checked_at_ms >= interval_ms

    def record_check(self, has_connected: bool, now_ms: float) -> None:
        """Record whether any target accepted a connection."""
        self._checked_at_ms = now_ms
        self._requested_until_ms = float("-inf")
        self._failed_at_ms.clear()
        self._good_checks = self._good_checks + 1 if has_connected else 0
        is_lost = not has_connected or (
            self.is_lost and self._good_checks < _REQUIRED_GOOD_CHECKS
        )
        if is_lost != self.is_lost:
            self.is_lost = is_lost
            self._on_change(is_lost)
