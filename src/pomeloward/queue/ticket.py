"""A request that waits for a slot."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request's place in the queue of a service.

    Times are ms of the runtime's clock. ``avoid`` has the targets that the
    request was already sent to. ``position`` is given at the first wait and
    kept, so that a request which acquires again waits where it was.
    """

    service: model.ServiceId
    team: model.TeamId
    arrived_ms: float
    deadline_ms: float
    is_deferrable: bool = False
    weight: float = 1.0
    route: model.RouteId = model.RouteId("")
    avoid: set[model.TargetId] = dataclasses.field(default_factory=set)
    position: tuple[float, int] | None = None
