"""What an owner knows of one order."""

import dataclasses
import enum

from pomeloward import model
from pomeloward.orders import recordedanswer


class EntryState(enum.Enum):
    """The states of an order that may have run."""

    RUNNING = "running"
    RECORDED = "recorded"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class Entry:
    """An order at its owner.

    A running entry becomes unknown at ``until_ms``; any other is forgotten
    then. ``attempts`` are those that may run; more than one only after a
    recovery that could not tell which was cleared. ``is_granted`` tells
    whether this owner or a predecessor by hand-over granted the attempt.
    """

    team: model.TeamId
    digest: bytes
    state: EntryState
    until_ms: float
    attempts: frozenset[int] = frozenset()
    answer: recordedanswer.RecordedAnswer | None = None
    is_granted: bool = False
