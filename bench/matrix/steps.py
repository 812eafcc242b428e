"""The columns: steps of a request and of the control work."""

import collections.abc
import enum


class Step(enum.Enum):
    """Where a fault begins."""

    ADDRESS = "address"
    CONNECT = "connect"
    KEY = "key"
    CLAIM = "claim"
    RATE = "rate"
    QUEUE = "queue"
    DISPATCH = "dispatch"
    STREAM = "stream"
    RECORD = "record"
    DRAIN = "drain"
    READ = "read"
    SPREAD = "spread"
    GRANT = "grant"
    RENEWAL = "renewal"
    HANDOVER = "handover"
    RESTART = "restart"
    EJECTION = "ejection"
    RAMP = "ramp"


class Steps:
    """Calls back when the step that is waited for is first reached."""

    def __init__(self) -> None:
        self._step: Step | None = None
        self._callback: collections.abc.Callable[[], None] | None = None
        self.reached = False

    def arm(
        self, step: Step, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Wait for the next time that a step is reached."""
        self._step = step
        self._callback = callback

    def reach(self, step: Step) -> None:
        """Note that a request or the control work is at a step."""
        if step is self._step and self._callback is not None:
            callback, self._callback = self._callback, None
            self.reached = True
            callback()
