"""What a host heard of the targets, for a controller that is new."""

import collections.abc

import msgspec

from pomeloward import model
from pomeloward.service import messages
from pomeloward.service import targetstate

_UNKNOWN = targetstate.TargetState.UNKNOWN.value
_MAX_AGE_MS = 1e9


class Hint:
    """The states of the last answer, sent until a new controller answers.

    A controller uses only those of the first report that it agrees to.
    """

    def __init__(self) -> None:
        self._states = b""
        self._heard_ms = float("-inf")
        self._version = 0
        self._echo_ms = 0.0
        self._agreed_epoch = 0

    def heard(self, answer: messages.Answer, asked_ms: float) -> None:
        """Take an answer to a report that was sent at ``asked_ms``."""
        self._echo_ms = answer.clock_ms
        if not answer.is_agreed:
            return
        self._agreed_epoch = answer.epoch
        self._states = answer.states
        self._heard_ms = asked_ms
        self._version = answer.version

    def reorder(
        self,
        old: collections.abc.Iterable[model.TargetId],
        new: collections.abc.Iterable[model.TargetId],
    ) -> None:
        """Carry states over to a new table; other targets are unknown."""
        known = dict(zip(old, self._states, strict=False))
        self._states = bytes(known.get(target, _UNKNOWN) for target in new)

    def attach(
        self, report: messages.Report, now_ms: float
    ) -> messages.Report:
        """Return a report with the hint where its controller needs it."""
        if report.epoch == self._agreed_epoch:
            return report
        return msgspec.structs.replace(
            report,
            echo_ms=self._echo_ms,
            states=self._states,
            states_age_ms=min(now_ms - self._heard_ms, _MAX_AGE_MS),
            states_version=self._version,
        )
