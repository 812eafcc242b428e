"""Contents of the log line of one request."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(slots=True)
class RequestLogEntry:
    """What the log line of a request says about its path and outcome.

    ``reason`` tells why the request was refused or ended without a complete
    response, and is empty otherwise.
    ``fingerprint`` is shared with the requests that ask for the same, and
    empty if the request was not admitted.
    ``body_ms`` is the time until the last byte of the request came, None if
    none came. ``waited_ms`` is the time until the first attempt got a slot.
    ``is_draining`` tells that the host was stopping when the request came.
    ``attempts`` has a text for each attempt with target, reason of its
    selection, outcome, duration and detail, such as
    ``i-7 near ok 131ms answered 200``.
    """

    request_id: model.RequestId
    started_at_ms: float
    configuration_version: int = 0
    route_id: str = ""
    team_id: str = ""
    service_id: str = ""
    fingerprint: str = ""
    reason: str = ""
    body_ms: float | None = None
    waited_ms: float = 0.0
    is_draining: bool = False
    attempts: list[str] = dataclasses.field(default_factory=list)
