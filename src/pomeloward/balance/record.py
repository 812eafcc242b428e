"""A target with all that decides whether it gets requests."""

import dataclasses

from pomeloward import replica
from pomeloward.balance import health
from pomeloward.balance import pacer


@dataclasses.dataclass(slots=True)
class Record:
    """A registered target, its health here and its pace while cold.

    Until ``reported_until_ms`` a host of the target's zone doubts it.
    """

    target: replica.Target
    health: health.Health
    pacer: pacer.Pacer
    is_out: bool = False
    is_misplaced: bool = False
    reported_until_ms: float = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether the target may get any requests."""
        return not (self.target.is_leaving or self.is_out or self.is_misplaced)

    def is_doubtful(self, now_ms: float) -> bool:
        """Tell whether only trials may go here, by own or others' runs."""
        is_reported = now_ms < self.reported_until_ms
        return is_reported or self.health.is_doubtful(now_ms)
