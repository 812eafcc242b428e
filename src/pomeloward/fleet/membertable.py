"""When the other hosts were last heard of."""

import collections.abc

from pomeloward import model
from pomeloward.fleet import member as members
from pomeloward.fleet import memberreport

# Time between two beats to the same host.
HEARTBEAT_INTERVAL_MS = 400.0
# A host of the same zone is heard of over one other host: four beats.
SAME_ZONE_TIMEOUT_MS = 1_600.0
# A host of another zone is heard of over two others, with as many beats
# each.
OTHER_ZONE_TIMEOUT_MS = 2_600.0
# Forgotten hosts are gone from beats and addresses long before.
_REMOVAL_TIMEOUT_MS = 30_000.0


class MemberTable:
    """The newest word of each other host, first-hand or not."""

    def __init__(self, own: model.HostId, zone: model.ZoneId) -> None:
        self._own = own
        self._zone = zone
        self._members: dict[model.HostId, members.Member] = {}
        self._heard_ms: dict[model.HostId, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def get(self, host: model.HostId) -> members.Member | None:
        """Return a host that was heard of lately, alive or not."""
        return self._members.get(host)

    def live_members(self, now_ms: float) -> list[members.Member]:
        """Return the hosts that are not silent."""
        return [
            one
            for one in self._members.values()
            if self._is_alive(one, now_ms)
        ]

    def update_member(
        self, seen: members.Member, heard_ms: float, now_ms: float
    ) -> bool:
        """Take word of a host; return whether it came or changed state."""
        if seen.host == self._own:
            return False
        known = self._members.get(seen.host)
        known_ms = self._heard_ms.get(seen.host, float("-inf"))
        if known is not None and not self._is_newer(seen, heard_ms, now_ms):
            return False
        was_alive = known is not None and self._is_alive(known, now_ms)
        self._members[seen.host] = seen
        self._heard_ms[seen.host] = max(heard_ms, known_ms)
        return (
            not was_alive
            or known is None
            or known.state is not seen.state
            or known.incarnation != seen.incarnation
        )

    def reports(
        self,
        told: collections.abc.Iterable[members.Member],
        host: model.HostId,
        now_ms: float,
    ) -> tuple[memberreport.MemberReport, ...]:
        """Return what to tell a host of others, with the age of the word."""
        return tuple(
            memberreport.MemberReport(
                one, int(now_ms - self._heard_ms[one.host])
            )
            for one in told
            if one.host not in (host, self._own)
        )

    def newly_silent_hosts(self, now_ms: float) -> list[model.HostId]:
        """Return hosts whose beats have just stopped, to connect anew."""
        return [
            host
            for host, heard_ms in self._heard_ms.items()
            if SAME_ZONE_TIMEOUT_MS
            < now_ms - heard_ms
            < SAME_ZONE_TIMEOUT_MS + 2 * HEARTBEAT_INTERVAL_MS
        ]

    def remove_expired_members(self, now_ms: float) -> None:
        """Drop hosts that have been silent for long."""
        for host in [
            host
            for host, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms > _REMOVAL_TIMEOUT_MS
        ]:
            del self._members[host]
            del self._heard_ms[host]

    def _is_newer(
        self, seen: members.Member, heard_ms: float, now_ms: float
    ) -> bool:
        """Tell whether word of a host replaces the known one.

        Incarnations come from the wall clock, which may be set back before
        a restart; so a host that has been silent may have a smaller one.
        """
        known = self._members[seen.host]
        known_ms = self._heard_ms[seen.host]
        if seen.incarnation == known.incarnation:
            return heard_ms >= known_ms
        if seen.incarnation > known.incarnation:
            return True
        return heard_ms > known_ms and not self._is_alive(known, now_ms)

    def _is_alive(self, one: members.Member, now_ms: float) -> bool:
        allowed_ms = (
            SAME_ZONE_TIMEOUT_MS
            if one.zone == self._zone
            else OTHER_ZONE_TIMEOUT_MS
        )
        return now_ms - self._heard_ms[one.host] <= allowed_ms
