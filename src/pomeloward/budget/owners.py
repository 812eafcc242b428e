"""What rate limits need to know of the owners of partitions."""

import typing

from pomeloward import catalog
from pomeloward import model


class Owners(typing.Protocol):
    """The part of ``ownership.Ownership`` that this package uses."""

    def owner_of(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.HostId | None:
        """Return the owner of a partition, as far as it is known."""

    def holds(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.Epoch | None:
        """Return the epoch under which this host owns a partition now."""


class PortionMapping(typing.Protocol):
    """Maps a portion of a team's budget to a partition."""

    def __call__(
        self, region: catalog.Region, team: model.TeamId, portion: int
    ) -> model.PartitionId:
        """Return the partition."""
