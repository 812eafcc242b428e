"""Ownership of every partition by the only host there is."""

import collections.abc

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership

_EPOCH = model.Epoch(1)
# Longer than every loan. The loans of an earlier process of this host have
# ended with it, so that its partitions count as acquired this long ago.
_LOANS_MS = 3_000.0


class SoleOwnership:
    """Owns everything in one epoch, without voters."""

    def __init__(self, host: model.HostId) -> None:
        self._host = host

    def owner_of(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.HostId | None:
        """Return this host."""
        return self._host

    def holds(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.Epoch | None:
        """Return the one epoch."""
        return _EPOCH

    def voters_of(
        self, partition: model.PartitionId
    ) -> collections.abc.Sequence[model.HostId]:
        """Return this host."""
        return (self._host,)

    def memory_started_ms(self) -> float:
        """Return the start of the clock."""
        return 0.0

    def acquire_all(
        self,
        region: catalog.Region,
        users: collections.abc.Iterable[ownership.PartitionUser],
        now_ms: float,
    ) -> None:
        """Give every partition to each of its users."""
        for number in range(region.partitions):
            partition = ownership.make_partition(region.id, number)
            for user in users:
                user.on_acquired(partition, _EPOCH, None, now_ms - _LOANS_MS)
