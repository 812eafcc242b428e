"""What happened to one request, for its log line."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(slots=True)
class RequestLogEntry:
    """Inputs and outcome of the decisions on a request.

    ``attempts`` has a short text for each target, such as
    ``i-7 near ok 131ms``.
    """

    request_id: model.RequestId
    started_ms: float
    configuration_version: int = 0
    route: str = ""
    team: str = ""
    service: str = ""
    reason: str = ""
    waited_ms: float = 0.0
    attempts: list[str] = dataclasses.field(default_factory=list)
