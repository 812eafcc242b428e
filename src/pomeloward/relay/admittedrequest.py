"""A caller's request that was admitted."""

import dataclasses

from pomeloward import dispatch
from pomeloward import model
from pomeloward import policy as policies


@dataclasses.dataclass(slots=True)
class AdmittedRequest:
    """A request that is to be forwarded to a target.

    ``team`` is the caller's, None if the route needs no key.
    ``path_and_query`` is the request target as received, still encoded.
    ``headers`` contain neither the caller's key nor the headers of its
    connection. By ``deadline_ms`` the caller has to get its response.
    ``fingerprint`` is shared with the requests that ask for the same.
    ``key_digest`` is that of the caller's key, None without one.
    It may be sent to ``max_attempts`` targets, of which ``run_evidence`` tells
    whether any may have run it.
    """

    id: model.RequestId
    route: policies.Route
    service_id: model.ServiceId
    team: policies.Team | None
    method: str
    path_and_query: bytes
    headers: dispatch.Headers
    body: dispatch.Body
    arrived_at_ms: float
    deadline_ms: float
    max_attempts: int
    fingerprint: model.RequestFingerprint = model.RequestFingerprint("")
    key_digest: bytes | None = None
    run_evidence: dispatch.RunEvidence = dataclasses.field(
        default_factory=dispatch.RunEvidence
    )

    @property
    def priority(self) -> int:
        """The priority of the team, or of the route if the team has none.

        0 is the most urgent.
        """
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def attempts_left(self) -> int:
        """The number of targets that may still get the request."""
        return self.max_attempts - self.run_evidence.open_attempts

    @property
    def can_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.is_idempotent and self.body.can_replay
