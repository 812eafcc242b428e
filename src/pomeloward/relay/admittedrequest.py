"""A caller's request on its way."""

import dataclasses

from pomeloward import dispatch
from pomeloward import model
from pomeloward import policy as policies


@dataclasses.dataclass(slots=True)
class AdmittedRequest:
    """An admitted request.

    ``headers`` hold neither the caller's key nor headers of its connection.
    ``end_ms`` is when the caller gets its answer at the latest.
    """

    id: model.RequestId
    route: policies.Route
    service: model.ServiceId
    team: policies.Team | None
    method: str
    path_and_query: bytes
    headers: dispatch.Headers
    body: dispatch.Body
    arrived_at_ms: float
    deadline_ms: float

    @property
    def priority(self) -> int:
        """The urgency; that of the team goes before the route's."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def can_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.is_idempotent and self.body.can_replay
