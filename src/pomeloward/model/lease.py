"""Permissions with a bounded lifetime, counted without shared clocks.

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
    """A lease as its holder sees it.

    Times are milliseconds of the holder's own monotonic clock. The lifetime
    counts from the sending of the question that was answered, and is
    shortened by the drift bound.

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
        """Tell whether the holder may still act."""
        return now_ms < self.valid_until_ms


def outstanding_until_ms(answered_at_ms: float, lifetime_ms: float) -> float:
    """Return until when a grantor must count a lease as in use.

    Both arguments are milliseconds, the first of the grantor's own clock.
    """
    return answered_at_ms + lifetime_ms * (1 + MAX_DRIFT_RATIO)
