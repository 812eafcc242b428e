"""What the package needs to know about owners of partitions."""

import typing

from pomeloward import model


class Owners(typing.Protocol):
    """The part of ``ownership.Ownership`` that controllers need."""

    def owner_of(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.HostId | None:
        """Return the host that is believed to own a partition."""

    def holds(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.Epoch | None:
        """Return the epoch in which this host owns a partition now."""
