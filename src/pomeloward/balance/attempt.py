"""Attempts of requests at targets."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, which uses a slot of its target.

    ``expected_ms`` is the mean latency of the route when the attempt
    starts. At ``silent_at_ms`` almost all attempts of the route have been
    answered. ``selection_reason`` tells why the target was selected.
    """

    service_id: model.ServiceId
    target_id: model.TargetId
    route_id: model.RouteId
    started_at_ms: float
    expected_ms: float
    silent_at_ms: float
    selection_reason: str = ""

    def lateness_ratio(self, now_ms: float) -> float:
        """Return the time beyond the expected time, as a ratio of that."""
        return max(0.0, (now_ms - self.started_at_ms) / self.expected_ms - 1.0)
