"""Leases: permissions that expire, without synchronized clocks.

This is the lease rule of C. Gray and D. Cheriton, "Leases: an efficient
fault-tolerant mechanism for distributed file cache consistency" (1989), with
a bound on the drift of clocks in place of synchronized time.
"""

import dataclasses

# Largest difference in speed between two hosts' monotonic clocks. Crystal
# oscillators stay within 0.02%; the margin covers clock slewing.
MAX_DRIFT_RATIO = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease from its holder's point of view.

    Times are milliseconds of the holder's own monotonic clock. The lifetime
    starts when the holder sends the request that the grantor answers, and is
    shortened by the drift bound, so that the lease ends at the holder before
    it ends at the grantor.

    Example::

        lease = Lease(asked_at_ms=1_000.0, lifetime_ms=3_000.0)
        lease.is_valid(now_ms=3_900.0)  # True
        lease.is_valid(now_ms=3_980.0)  # False
    """

    asked_at_ms: float
    lifetime_ms: float

    @property
    def valid_until_ms(self) -> float:
        """The end of the lease on the holder's clock."""
        return self.asked_at_ms + self.lifetime_ms * (1 - MAX_DRIFT_RATIO)

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether the holder may still act under the lease."""
        return now_ms < self.valid_until_ms


def outstanding_until_ms(granted_at_ms: float, lifetime_ms: float) -> float:
    """Return until when a grantor must assume that a lease is in use.

    ``granted_at_ms`` and the result are times of the grantor's own clock.
    """
    return granted_at_ms + lifetime_ms * (1 + MAX_DRIFT_RATIO)
