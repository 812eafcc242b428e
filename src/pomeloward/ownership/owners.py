"""What a host knows about the owners of its region's partitions."""

import collections.abc

from pomeloward.ownership import messages
from pomeloward.ownership import rendezvous

_CHECKSUM_MASK = 0xFFFF_FFFF


class OwnerTable:
    """The latest known tenancy of each partition.

    A larger epoch replaces a smaller one. The checksum is the same on two
    hosts that know the same tenancies, whatever the order they came in.
    """

    def __init__(self) -> None:
        self._tenancies: dict[int, messages.Tenancy] = {}
        self.checksum = 0

    def get(self, number: int) -> messages.Tenancy | None:
        """Return the latest known tenancy of a partition."""
        return self._tenancies.get(number)

    def all(self) -> tuple[messages.Tenancy, ...]:
        """Return all known tenancies."""
        return tuple(self._tenancies.values())

    def merge(
        self, tenancies: collections.abc.Iterable[messages.Tenancy]
    ) -> tuple[messages.Tenancy, ...]:
        """Take tenancies over; returns those that were news."""
        return tuple(found for found in tenancies if self._put(found))

    def _put(self, tenancy: messages.Tenancy) -> bool:
        known = self._tenancies.get(tenancy.number)
        if known is not None:
            if known.epoch >= tenancy.epoch:
                return False
            self.checksum ^= _hash(known)
        self._tenancies[tenancy.number] = tenancy
        self.checksum ^= _hash(tenancy)
        return True


def _hash(tenancy: messages.Tenancy) -> int:
    text = f"{tenancy.number} {tenancy.epoch} {tenancy.host}"
    return rendezvous.name_hash(text) & _CHECKSUM_MASK
