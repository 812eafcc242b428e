"""A slot in use by one request."""

import typing

from pomeloward import model
from pomeloward.service import outcome as outcome_


class Holder(typing.Protocol):
    """Where a slot comes from and goes back to."""

    def may_start(self, target: model.TargetId, now_ms: float) -> bool:
        """Tell whether a request may start at a target now."""

    def end(
        self, run: int, outcome: outcome_.Outcome, latency_ms: float
    ) -> None:
        """Take the slot of a run back."""


class SlotHold:
    """The permission to run one request at ``target``.

    It is checked by ``is_valid`` immediately before the request is sent; a
    request that was sent may run to its end. ``release`` has an effect once.
    """

    def __init__(
        self, holder: Holder, run: int, target: model.TargetId
    ) -> None:
        self.target = target
        self._holder = holder
        self._run = run
        self._is_released = False

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether the request may still be sent to the target."""
        if self._is_released:
            return False
        return self._holder.may_start(self.target, now_ms)

    def release(self, outcome: outcome_.Outcome, latency_ms: float) -> None:
        """Give the slot back, with what the request showed of the target.

        A hold that was never used is released as cancelled.
        """
        if not self._is_released:
            self._is_released = True
            self._holder.end(self._run, outcome, latency_ms)
