"""What other modules ask about the owners of partitions."""

import collections.abc
import typing

from pomeloward import model
from pomeloward.ownership import ownerlookup


class Ownership(ownerlookup.OwnerLookup, typing.Protocol):
    """Owners of partitions, and the voters that grant them."""

    def voters_of(
        self, partition: model.PartitionId
    ) -> collections.abc.Sequence[model.HostId]:
        """Return the voters of a partition in all rosters, newest first."""

    def memory_started_ms(self) -> float:
        """Return since when this host, as a voter, remembers its votes."""
