"""Turns a caller's request into the one that targets get."""

import collections.abc

from pomeloward import dispatch
from pomeloward.entry import body as bodies
from pomeloward.entry import callerrequest
from pomeloward.entry import grant as grants

_TEAM_HEADER = b"pomeloward-team"
_REQUEST_HEADER = b"pomeloward-request-id"


class NoBody:
    """The body of a request that has none."""

    can_replay = True
    can_share = True
    is_ended = True

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over nothing."""
        nothing: tuple[bytes, ...] = ()
        for chunk in nothing:
            yield chunk


def build(
    request: callerrequest.CallerRequest,
    grant: grants.Grant,
    body: bodies.RequestBody,
    arrived_at_ms: float,
    evidence: dispatch.RunEvidence,
) -> dispatch.TargetRequest:
    """Return the request to dispatch, with this host's own headers."""
    headers = [
        *request.headers,
        (_REQUEST_HEADER, request.id.encode("ascii")),
    ]
    if grant.team:
        headers.append((_TEAM_HEADER, grant.team.encode("utf-8")))
    if request.has_body and request.content_length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    allowed_ms = grant.route.deadline_ms
    if request.deadline_ms is not None:
        allowed_ms = min(allowed_ms, request.deadline_ms)
    return dispatch.TargetRequest(
        id=request.id,
        route=grant.route,
        team=grant.team,
        method=request.method,
        target_path=request.target_path,
        headers=headers,
        body=body if request.has_body else NoBody(),
        arrived_at_ms=arrived_at_ms,
        deadline_ms=arrived_at_ms + allowed_ms,
        weight=grant.weight,
        evidence=evidence,
    )
