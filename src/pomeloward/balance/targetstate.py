"""State of a target that decides whether it gets requests."""

import dataclasses

from pomeloward import replica
from pomeloward.balance import ratelimiter
from pomeloward.balance import targethealth


@dataclasses.dataclass(slots=True)
class TargetState:
    """A registered target with its health and request rate at this host.

    ``is_misplaced`` tells that another server listens at its address. Until
    ``reported_until_ms`` a report of another host in the target's zone
    says that the target is unhealthy.
    """

    target: replica.Target
    health: targethealth.TargetHealth
    rate_limiter: ratelimiter.RateLimiter
    is_zone_out_of_service: bool = False
    is_misplaced: bool = False
    reported_until_ms: float = float("-inf")

    @property
    def is_eligible(self) -> bool:
        """Whether the target may get any requests."""
        return not (
            self.target.is_leaving
            or self.is_zone_out_of_service
            or self.is_misplaced
        )

    def is_unhealthy(self, now_ms: float) -> bool:
        """Tell whether only trial requests may go to the target.

        The evidence comes from attempts of this host or from a report.
        """
        is_reported = now_ms < self.reported_until_ms
        return is_reported or self.health.is_unhealthy(now_ms)
