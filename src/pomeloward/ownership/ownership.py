"""What other modules ask about the owners of partitions."""

import collections.abc
import typing

from pomeloward import model


class Ownership(typing.Protocol):
    """The owners of the partitions of this host's region."""

    def owner_of(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.HostId | None:
        """Return the owner as far as known, or None.

        The answer is a hint for where to ask; only the owner itself knows
        whether it still is one.
        """

    def holds(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.Epoch | None:
        """Return this host's epoch if it owns the partition now.

        Checked immediately before each act that only the owner may do.
        """

    def voters_of(
        self, partition: model.PartitionId
    ) -> collections.abc.Sequence[model.HostId]:
        """Return the voters of a partition in all rosters, newest first."""

    def memory_started_ms(self) -> float:
        """Return since when this host, as a voter, remembers its votes."""
