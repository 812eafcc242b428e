"""What a host says of itself."""

import enum

import msgspec

from pomeloward import model

# Equal hosts that start together are ordered by id alone; one that starts
# later comes after them, so that a restart moves no callers back.
_START_BUCKET_MS = 4_000


class MemberState(enum.IntEnum):
    """Life cycle of a host as its peers see it."""

    STARTING = 0
    READY = 1
    DRAINING = 2


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A host, its start and its load.

    ``host`` is the address ``ip:port`` where its peers reach it.
    ``capacity_per_s`` is how many requests/s it can carry, and
    ``load_per_s`` how many it carried lately.
    """

    host: model.HostId
    zone: model.ZoneId
    incarnation: model.Incarnation
    state: MemberState = MemberState.STARTING
    capacity_per_s: int = 100
    load_per_s: int = 0

    @property
    def ip_address(self) -> str:
        """The address of the host without its port."""
        return self.host.rpartition(":")[0]

    @property
    def precedence_key(self) -> tuple[int, int, str]:
        """The place in the order by which hosts of a zone lead.

        Large hosts come first, so that few carry a zone's load.
        """
        start = int(self.incarnation) // _START_BUCKET_MS
        return -self.capacity_per_s, start, self.host
