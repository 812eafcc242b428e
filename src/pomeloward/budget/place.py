"""Where a portion is found."""

import dataclasses

from pomeloward import model
from pomeloward.budget import loan
from pomeloward.budget import portion


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
        ends. Where the refill of two loan lifetimes exceeds the burst, hosts
        report at once.
        """
        refill = self.portion.rate_per_s * loan.LOAN_LIFETIME_MS / 1000
        return self.portion.burst_requests < 2 * refill
