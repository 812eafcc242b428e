"""What a controller knows about one host."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(slots=True)
class HostRecord:
    """A host's place in the order of reports, and its demand.

    ``allotted`` is its part of the last division under contention.
    """

    order: tuple[int, int] = (0, 0)
    demand: dict[model.TeamId, int] = dataclasses.field(default_factory=dict)
    want: int = 0
    allotted: int = 0
    granted: int = 0
    avoided: frozenset[model.TargetId] = frozenset()
    seen_ms: float = 0.0
    nudged_ms: float = 0.0
    has_joined: bool = False
