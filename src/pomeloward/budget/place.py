"""Where a portion is found."""

import dataclasses

from pomeloward import model
from pomeloward.budget import loan
from pomeloward.budget import portion

_SMALL_BURST_REQUESTS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A portion, its partition and the partition's owner, if known."""

    portion: portion.Portion
    partition: model.PartitionId
    owner: model.HostId | None

    @property
    def name(self) -> tuple[model.RegionId, int]:
        """The name of the portion among those of its team."""
        return self.portion.region, self.portion.index

    @property
    def is_tight(self) -> bool:
        """Whether unreported loans could stop the portion's refill.

        Spent tokens take up burst until they are reported or their loan
        ends. Hosts report at once where the refill of two loan lifetimes
        exceeds the burst, and where every token of the burst counts.
        """
        refill = self.portion.rate_per_s * loan.LOAN_LIFETIME_MS / 1000
        burst = self.portion.burst_requests
        return burst < max(2 * refill, _SMALL_BURST_REQUESTS)
