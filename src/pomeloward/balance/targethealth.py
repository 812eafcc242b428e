"""Health of a target as one host observes it."""

from pomeloward.balance import attempt as attempts
from pomeloward.balance import outcome as outcomes

# One error in a hundred answers is normal; two in a row, or this smoothed
# error ratio, are not.
_CONSECUTIVE_ERROR_LIMIT = 2
_ERROR_RATIO_GAIN = 0.2
_ERROR_RATIO_LIMIT = 0.45
# A target that fails a part of its requests is suspected only after several
# of them. Until then an error makes it as unattractive as this time without a
# good answer, less as the error gets older.
_ERROR_PENALTY_MS = 4_000.0
# Good answers in a row that end a suspicion. A target that fails three of
# four requests passes by chance once in sixteen times.
_REQUIRED_SUCCESSES = 2
# First and longest delay between trial requests to a suspected target. A
# target works again two seconds after its fault and has to get requests then.
FIRST_TRIAL_DELAY_MS = 300.0
_MAX_TRIAL_DELAY_MS = 1_200.0
_TRIAL_DELAY_GROWTH_RATIO = 1.6
# Time without requests after which a suspected target gets one that can't be
# repeated, for services that have no repeatable requests. Most such requests
# fail, so they have to be rare.
LAST_RESORT_DELAY_MS = 8_000.0
# A target that was down, or whose zone was out of service, may be cold. Its
# registry entry shows that only after a heartbeat (1.5 s) and a read of the
# registry (0.7 s).
_MAY_BE_COLD_MS = 2_500.0
# Pause after a refusal by the target: a full target has a free slot again
# after about the time that one request usually takes.
SHED_PAUSE_MS = 100.0


class TargetHealth:
    """Open attempts, results of past attempts and suspicion of one target.

    A target that has not answered yet has no good answer, but is not
    suspected for that. It is suspected after attempts that ended silent or
    unreachable and after errors, until good answers to trial requests end
    the suspicion. While an open attempt is silent, the target is unhealthy
    without being suspected.
    """

    def __init__(self, now_ms: float) -> None:
        self.open_attempts: set[attempts.Attempt] = set()
        self.is_suspected = False
        self.suspicion_reason = ""
        self.last_success_at_ms = float("-inf")
        self.last_start_at_ms = float("-inf")
        self.paused_until_ms = float("-inf")
        self._last_error_at_ms = float("-inf")
        self._may_be_cold_until_ms = float("-inf")
        self._consecutive_errors = 0
        self._error_ratio = 0.0
        self._successes_since_suspicion = 0
        self._trial_delay_ms = FIRST_TRIAL_DELAY_MS
        self._next_trial_at_ms = now_ms

    def is_silent(self, now_ms: float) -> bool:
        """Tell whether an open attempt is past its silence threshold."""
        return any(
            now_ms >= attempt.silent_at_ms for attempt in self.open_attempts
        )

    def lateness_ratio(self, now_ms: float) -> float:
        """Return the largest lateness ratio of the open attempts."""
        return max(
            (attempt.lateness_ratio(now_ms) for attempt in self.open_attempts),
            default=0.0,
        )

    def error_penalty_ms(self, now_ms: float) -> float:
        """Return the cost of the latest error, 0 when it is long ago."""
        return max(0.0, _ERROR_PENALTY_MS - (now_ms - self._last_error_at_ms))

    def is_unhealthy(self, now_ms: float) -> bool:
        """Tell whether only trial requests may go to the target."""
        return self.is_suspected or self.is_silent(now_ms)

    def may_be_cold(self, now_ms: float) -> bool:
        """Tell whether the target may be cold without having reported it."""
        return now_ms < self._may_be_cold_until_ms

    def assume_cold(self, now_ms: float) -> None:
        """Treat the target as cold until its registry entry is up to date."""
        self._may_be_cold_until_ms = now_ms + _MAY_BE_COLD_MS

    def is_trial_due(self, now_ms: float) -> bool:
        """Tell whether a repeatable request may be sent as a trial."""
        return not self.open_attempts and now_ms >= self._next_trial_at_ms

    def is_last_resort_trial_due(self, now_ms: float) -> bool:
        """Tell whether any request may be sent as a trial."""
        return (
            not self.open_attempts
            and now_ms - self.last_start_at_ms >= LAST_RESORT_DELAY_MS
        )

    def start_attempt(self, attempt: attempts.Attempt, now_ms: float) -> None:
        """Add an open attempt."""
        self.open_attempts.add(attempt)
        self.last_start_at_ms = now_ms

    def end_attempt(
        self,
        attempt: attempts.Attempt,
        outcome: outcomes.Outcome,
        now_ms: float,
    ) -> None:
        """Remove an open attempt and update the health by its outcome."""
        was_silent = now_ms >= attempt.silent_at_ms
        self.open_attempts.discard(attempt)
        if outcome is outcomes.Outcome.OK:
            self._record_success(now_ms)
        elif outcome is outcomes.Outcome.ERROR:
            self._record_error(now_ms)
        elif outcome is outcomes.Outcome.SHED:
            self.paused_until_ms = now_ms + SHED_PAUSE_MS
        elif outcome is outcomes.Outcome.ABANDONED:
            if was_silent:
                self._suspect("silent", now_ms)
        else:
            self._suspect(outcome.value, now_ms)
        if outcome is outcomes.Outcome.UNREACHABLE:
            self.assume_cold(now_ms)

    def _record_success(self, now_ms: float) -> None:
        self.last_success_at_ms = now_ms
        self._consecutive_errors = 0
        self._error_ratio *= 1 - _ERROR_RATIO_GAIN
        if not self.is_suspected:
            return
        self._successes_since_suspicion += 1
        self._next_trial_at_ms = now_ms
        if self._successes_since_suspicion >= _REQUIRED_SUCCESSES:
            self.end_suspicion()

    def end_suspicion(self) -> None:
        """Trust the target again, with nothing held against it."""
        self.is_suspected = False
        self.suspicion_reason = ""
        self._consecutive_errors = 0
        self._error_ratio = 0.0
        self._trial_delay_ms = FIRST_TRIAL_DELAY_MS

    def _record_error(self, now_ms: float) -> None:
        self._last_error_at_ms = now_ms
        self._consecutive_errors += 1
        self._error_ratio += _ERROR_RATIO_GAIN * (1 - self._error_ratio)
        if (
            self.is_suspected
            or self._consecutive_errors >= _CONSECUTIVE_ERROR_LIMIT
            or self._error_ratio >= _ERROR_RATIO_LIMIT
        ):
            self._suspect("errors", now_ms)

    def _suspect(self, reason: str, now_ms: float) -> None:
        """Start or renew the suspicion and schedule the next trial."""
        if self.is_suspected:
            self._trial_delay_ms = min(
                _MAX_TRIAL_DELAY_MS,
                self._trial_delay_ms * _TRIAL_DELAY_GROWTH_RATIO,
            )
        self.is_suspected = True
        self.suspicion_reason = reason
        self._successes_since_suspicion = 0
        self._next_trial_at_ms = now_ms + self._trial_delay_ms
