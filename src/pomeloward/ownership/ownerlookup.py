"""Who owns a partition, for packages that need no more of ownership."""

import typing

from pomeloward import model


class OwnerLookup(typing.Protocol):
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
