"""Decides whether this host has a path to the targets at all."""

import collections.abc

import anyio

from pomeloward import balance
from pomeloward import model

# So many targets that can't be reached within this time call for a check, or
# one of them while no other answers.
_FAILED_TARGET_LIMIT = 2
_FAILURE_WINDOW_MS = 1_000.0
_NO_ANSWER_MS = 300.0
# So many answers that are missing, of as many targets, call for a check too.
# A target that hangs withholds its own answers only.
_MISSING_ANSWER_LIMIT = 4.0
_SILENT_TARGET_LIMIT = 3
# Below this time without any answer, targets can't be told from a busy host.
_MIN_SILENCE_MS = 60.0
# Shortest intervals between checks, for silence of many targets and for
# failures. A good check doubles them, up to the longest one, for as long.
# Late answers, which any hung target causes, have the longest one.
_SILENCE_INTERVAL_MS = 200.0
_CHECK_INTERVAL_MS = 500.0
_MAX_INTERVAL_MS = 2_000.0
_MAX_INTERVAL_FACTOR = _MAX_INTERVAL_MS / _SILENCE_INTERVAL_MS
# Good checks in a row that end the loss.
_REQUIRED_GOOD_CHECKS = 2
# How long a check that another host's loss calls for may be put off by
# answers.
_REQUEST_LIFETIME_MS = 2_000.0

OnChange = collections.abc.Callable[[bool], None]
_NO_ANSWER_OUTCOMES = frozenset(
    {balance.Outcome.UNREACHABLE, balance.Outcome.SILENT}
)
_ANSWER_OUTCOMES = frozenset(
    {
        balance.Outcome.OK,
        balance.Outcome.SHED,
        balance.Outcome.MISPLACED,
    }
)


class PathMonitor:
    """Tells whether this host is cut off from all targets.

    Attempts without an answer only suggest it: the targets may have
    crashed or hang. So a check follows, which tries to connect to several
    targets. ``is_lost`` tells that none accepted a connection. Answers on
    connections from before don't count: no new target can be reached by
    these.

    Example::

        monitor.record_start(attempt)
        monitor.record_end(attempt, Outcome.UNREACHABLE, now_ms)
        if monitor.is_check_due(now_ms):
            monitor.start_check()
            monitor.record_check(await connects_to_any(), model.now_ms())
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
        self._open_attempts: set[balance.Attempt] = set()
        self._failed_at_ms: dict[model.TargetId, float] = {}
        self._answered_at_ms = float("-inf")
        self._checked_at_ms = float("-inf")
        self._requested_until_ms = float("-inf")
        self._interval_factor = 1.0
        self._good_checks = 0
        self._check_ended: anyio.Event | None = None

    def record_start(self, attempt: balance.Attempt) -> None:
        """Record an attempt that is open from now on."""
        if not self._open_attempts:
            self._on_check_suggested()
        self._open_attempts.add(attempt)

    def record_end(
        self,
        attempt: balance.Attempt,
        outcome: balance.Outcome,
        now_ms: float,
    ) -> None:
        """Record how an attempt ended."""
        self._open_attempts.discard(attempt)
        if outcome in _NO_ANSWER_OUTCOMES:
            self._failed_at_ms[attempt.target_id] = now_ms
            self._on_check_suggested()
        elif outcome in _ANSWER_OUTCOMES:
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
            or self._open_attempts
        )

    def is_check_due(self, now_ms: float) -> bool:
        """Return whether to try connections to targets now."""
        self._failed_at_ms = {
            target_id: at_ms
            for target_id, at_ms in self._failed_at_ms.items()
            if now_ms - at_ms <= _FAILURE_WINDOW_MS
        }
        if self._lacks_answers(now_ms):
            interval_ms = _SILENCE_INTERVAL_MS
        elif self.is_lost or self._has_failed_attempts(now_ms):
            interval_ms = _CHECK_INTERVAL_MS
        elif self._has_late_attempt(now_ms):
            interval_ms = _MAX_INTERVAL_MS
        else:
            return False
        interval_ms = min(
            _MAX_INTERVAL_MS, interval_ms * self._interval_factor
        )
        return (
            not self.is_checking
            and now_ms - self._checked_at_ms >= interval_ms
        )

    def is_silent(self, now_ms: float) -> bool:
        """Return whether no target has answered for a moment."""
        return now_ms - self._answered_at_ms >= _MIN_SILENCE_MS

    def start_check(self) -> None:
        """Record that connections are being tried, until ``record_check``."""
        self._check_ended = anyio.Event()

    def record_check(self, has_connected: bool, now_ms: float) -> None:
        """Record whether any target accepted a connection."""
        is_in_row = now_ms - self._checked_at_ms < 2 * _MAX_INTERVAL_MS
        has_path = has_connected and not self.is_lost
        self._interval_factor = (
            min(_MAX_INTERVAL_FACTOR, 2 * self._interval_factor)
            if is_in_row and has_path
            else 1.0
        )
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
        if self._check_ended is not None:
            self._check_ended.set()
            self._check_ended = None

    @property
    def is_checking(self) -> bool:
        """Whether a check is under way."""
        return self._check_ended is not None

    async def wait_for_check(self) -> None:
        """Wait for the end of a check that may find the path lost."""
        if self._check_ended is not None and not self.is_lost:
            await self._check_ended.wait()

    def _has_failed_attempts(self, now_ms: float) -> bool:
        """Return whether attempts, or another host's loss, call for a check.

        Answers put it off that only one target or another host calls for.
        """
        if len(self._failed_at_ms) >= _FAILED_TARGET_LIMIT:
            return True
        if now_ms - self._answered_at_ms < _NO_ANSWER_MS:
            return False
        return bool(self._failed_at_ms) or now_ms < self._requested_until_ms

    def _has_late_attempt(self, now_ms: float) -> bool:
        """Return whether an answer is late while no other target answers."""
        return now_ms - self._answered_at_ms >= _NO_ANSWER_MS and any(
            attempt.silent_at_ms <= now_ms for attempt in self._open_attempts
        )

    def _lacks_answers(self, now_ms: float) -> bool:
        """Return whether more answers are missing than hung targets owe.

        An open attempt owes one answer within its expected time, counted from
        the last answer of any target.
        """
        if not self.is_silent(now_ms):
            return False
        missing_answers = 0.0
        silent_targets: set[model.TargetId] = set()
        for attempt in self._open_attempts:
            open_ms = now_ms - max(attempt.started_at_ms, self._answered_at_ms)
            missing_answers += min(1.0, open_ms / attempt.expected_ms)
            silent_targets.add(attempt.target_id)
        return (
            missing_answers >= _MISSING_ANSWER_LIMIT
            and len(silent_targets) >= _SILENT_TARGET_LIMIT
        )
