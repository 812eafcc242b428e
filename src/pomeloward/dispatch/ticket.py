"""A request's place in the queue of a service."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(slots=True)
class Ticket:
    """What admission needs to know of a waiting request.

    ``team`` is empty on routes open to all. ``avoid`` names targets that
    already failed this request.
    """

    service: model.ServiceId
    team: model.TeamId
    arrived_at_ms: float
    deadline_ms: float
    is_deferrable: bool = False
    avoid: set[model.TargetId] = dataclasses.field(default_factory=set)
