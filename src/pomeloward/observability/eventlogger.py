"""Writes requests and decisions of a host to its log, as eliot actions."""

import random
import sys
import typing

import eliot

from pomeloward.observability import decision


class EventLogger:
    """Samples successful requests, and limits the rate of other actions.

    An eliot action costs about as much as all other bookkeeping of a request,
    so only ``logged_success_ratio`` of the successful requests are written.
    Failed requests and decisions share a rate limit of
    ``limited_actions_per_s``.
    """

    def __init__(
        self,
        logged_success_ratio: float,
        limited_actions_per_s: float,
        rng: random.Random,
    ) -> None:
        self._logged_success_ratio = logged_success_ratio
        self._limited_actions_per_s = limited_actions_per_s
        self._rng = rng
        self._tokens = limited_actions_per_s
        self._refilled_at_ms = 0.0
        self._suppressed_count = 0

    def log_request(
        self, now_ms: float, is_failed: bool, fields: dict[str, typing.Any]
    ) -> None:
        """Log a finished request as an action with the given fields."""
        if is_failed:
            if not self._may_write(now_ms):
                return
        elif self._rng.random() >= self._logged_success_ratio:
            return
        with eliot.start_action(action_type="request", **fields):
            pass

    def log_decision(self, entry: decision.Decision) -> None:
        """Log a decision as an action."""
        if not self._may_write(entry.at_ms):
            return
        with eliot.start_action(
            action_type=f"decision:{entry.kind}",
            reason=entry.reason,
            request=entry.request,
            team=entry.team,
            target=entry.target,
        ):
            pass

    def _may_write(self, now_ms: float) -> bool:
        """Take a token of the rate limit; return whether one was left.

        With a token, also logs how many actions were suppressed before it.
        """
        added_tokens = (
            (now_ms - self._refilled_at_ms)
            / 1_000
            * self._limited_actions_per_s
        )
        self._tokens = min(
            self._limited_actions_per_s, self._tokens + added_tokens
        )
        self._refilled_at_ms = now_ms
        if self._tokens < 1:
            self._suppressed_count += 1
            return False
        self._tokens -= 1
        if self._suppressed_count:
            eliot.log_message(
                message_type="log:suppressed", count=self._suppressed_count
            )
            self._suppressed_count = 0
        return True


def configure_log_output(file: str) -> None:
    """Send the log to a file, standard error (``-``) or nowhere (empty)."""
    if not file:
        return
    if file == "-":
        eliot.to_file(sys.stderr)
        return
    # The file stays open for the lifetime of the process.
    eliot.to_file(open(file, "ab", buffering=0))  # noqa: SIM115
