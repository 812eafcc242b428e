"""A host's description of itself as a member of the fleet."""

import enum
import functools

import msgspec

from pomeloward import model

# Hosts of equal capacity that start in the same interval are ordered by ID
# alone. One that starts later comes after them, so that a restart moves no
# callers back.
_START_INTERVAL_MS = 4_000
# More requests/s than any host carries or reports.
_MAX_RATE_PER_S = 1_000_000


class MemberState(enum.IntEnum):
    """Life cycle of a host as its peers see it."""

    STARTING = 0
    READY = 1
    DRAINING = 2


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A host's address, zone, start, state, capacity and load.

    ``host`` is the address ``ip:port`` where its peers reach it.
    ``incarnation`` is the wall clock time of its start in ms.
    ``capacity_per_s`` is how many requests/s it can carry, and
    ``load_per_s`` how many it carried lately. ``has_target_path`` is false
    while it can connect to no target.
    """

    host: model.HostId
    zone: model.ZoneId
    incarnation: model.Incarnation
    state: MemberState = MemberState.STARTING
    capacity_per_s: int = 100
    load_per_s: int = 0
    has_target_path: bool = True

    @property
    def ip_address(self) -> str:
        """The IP address of the host, without the port."""
        return self.host.rpartition(":")[0]

    @property
    def is_plausible(self) -> bool:
        """Whether callers may be sent to the host if it is ready."""
        return (
            0 <= self.capacity_per_s <= _MAX_RATE_PER_S
            and 0 <= self.load_per_s <= _MAX_RATE_PER_S
            and _is_endpoint(self.host)
        )

    @property
    def precedence_key(self) -> tuple[int, int, str]:
        """The key that sorts the hosts of a zone by precedence.

        The first hosts lead the zone and receive its callers. Hosts of large
        capacity come first, so that few hosts carry a zone's load.
        """
        start_interval = int(self.incarnation) // _START_INTERVAL_MS
        return -self.capacity_per_s, start_interval, self.host


_is_endpoint = functools.lru_cache(maxsize=4_096)(model.is_endpoint)
