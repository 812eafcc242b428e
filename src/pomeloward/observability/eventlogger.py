"""The log of a host: one eliot action per request and per decision."""

import random
import sys
import typing

import eliot

from pomeloward.observability import decision


class EventLogger:
    """Writes actions and decisions while their number stays affordable.

    An eliot action costs about as much as the rest of a request's
    bookkeeping, so that served requests are sampled by ``request_ratio``;
    refusals and decisions are written up to ``refusals_per_s``.
    """

    def __init__(
        self,
        request_ratio: float,
        refusals_per_s: float,
        rng: random.Random,
    ) -> None:
        self._request_ratio = request_ratio
        self._refusals_per_s = refusals_per_s
        self._rng = rng
        self._allowance = refusals_per_s
        self._filled_at_ms = 0.0
        self._suppressed = 0

    def log_request(
        self, now_ms: float, is_refused: bool, fields: dict[str, typing.Any]
    ) -> None:
        """Log the end of a request as an action with its outcome."""
        if is_refused:
            if not self._may_write(now_ms):
                return
        elif self._rng.random() >= self._request_ratio:
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
        grown = (now_ms - self._filled_at_ms) / 1_000 * self._refusals_per_s
        self._allowance = min(self._refusals_per_s, self._allowance + grown)
        self._filled_at_ms = now_ms
        if self._allowance < 1:
            self._suppressed += 1
            return False
        self._allowance -= 1
        if self._suppressed:
            eliot.log_message(
                message_type="log:suppressed", count=self._suppressed
            )
            self._suppressed = 0
        return True


def configure_log_output(file: str) -> None:
    """Send the log to a file, to standard error (``-``) or nowhere."""
    if not file:
        return
    if file == "-":
        eliot.to_file(sys.stderr)
        return
    # The log stays open as long as the process.
    eliot.to_file(open(file, "ab", buffering=0))  # noqa: SIM115
