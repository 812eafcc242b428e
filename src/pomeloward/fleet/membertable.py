"""The last known states of the other hosts, and which hosts are live."""

import collections.abc

from pomeloward import model
from pomeloward.fleet import member as members
from pomeloward.fleet import memberreport

# Interval between two heartbeats to the same host.
HEARTBEAT_INTERVAL_MS = 400.0
# A host without news for longer than its timeout counts as failed. News of a
# host in the same zone comes through one other host; the timeout is four
# heartbeat intervals.
SAME_ZONE_TIMEOUT_MS = 1_600.0
# News of a host in another zone comes through two other hosts, of which the
# first sends it to other zones in every second interval.
OTHER_ZONE_TIMEOUT_MS = 2_600.0
# Failed hosts are left out of heartbeats and address answers long before they
# are removed from the table.
_REMOVAL_TIMEOUT_MS = 30_000.0

_MembersByZone = dict[model.ZoneId, list[members.Member]]


class MemberTable:
    """The newest state of each other host, from itself or from reports.

    A host is live while its newest state is not older than a timeout, which
    is longer for hosts of other zones. A host was last heard when it sent its
    newest state itself, by the clock of this host.
    """

    def __init__(self, own_host: model.HostId, own_zone: model.ZoneId) -> None:
        self._own_host = own_host
        self._own_zone = own_zone
        self._members: dict[model.HostId, members.Member] = {}
        self._last_heard_ms: dict[model.HostId, float] = {}
        # The live members of each zone by precedence, None if unknown. They
        # hold until the first of them would time out.
        self._live_by_zone: _MembersByZone | None = None
        self._live_until_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._members)

    def get(self, host: model.HostId) -> members.Member | None:
        """Return a host's newest state, live or not; None if unknown."""
        return self._members.get(host)

    def live_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> collections.abc.Sequence[members.Member]:
        """Return the other hosts of a zone that are live, by precedence."""
        return self._find_live(now_ms).get(zone, ())

    def has_live_members(self, now_ms: float) -> bool:
        """Return whether any other host is live."""
        return bool(self._find_live(now_ms))

    def _find_live(self, now_ms: float) -> _MembersByZone:
        """Return the live members, found anew only after a change.

        Every decision on a request or a heartbeat asks for them, while
        changes are rare. A heartbeat without news only prolongs the life of
        its sender.
        """
        if self._live_by_zone is None or now_ms > self._live_until_ms:
            self._live_by_zone = {}
            self._live_until_ms = float("inf")
            for member in sorted(
                self._members.values(), key=_get_precedence_key
            ):
                expires_ms = self._expiry_ms(member)
                if now_ms > expires_ms:
                    continue
                self._live_until_ms = min(self._live_until_ms, expires_ms)
                self._live_by_zone.setdefault(member.zone, []).append(member)
        return self._live_by_zone

    def update_member(
        self, reported: members.Member, heard_ms: float, now_ms: float
    ) -> bool:
        """Store a host's reported state if it is newer than the known one.

        ``heard_ms`` is when the host sent the state itself. Returns whether
        the host became live, started anew or changed its state.
        """
        if reported.host == self._own_host:
            return False
        known = self._members.get(reported.host)
        known_heard_ms = self._last_heard_ms.get(reported.host, float("-inf"))
        if known is not None and not self._is_newer(
            reported, heard_ms, now_ms
        ):
            return False
        was_live = known is not None and self._is_live(known, now_ms)
        self._members[reported.host] = reported
        self._last_heard_ms[reported.host] = max(heard_ms, known_heard_ms)
        if not was_live or reported != known:
            self._live_by_zone = None
        return (
            not was_live
            or known is None
            or known.state is not reported.state
            or known.incarnation != reported.incarnation
            or known.has_target_path != reported.has_target_path
        )

    def reports(
        self,
        reported_members: collections.abc.Iterable[members.Member],
        receiver: model.HostId,
        now_ms: float,
    ) -> tuple[memberreport.MemberReport, ...]:
        """Return reports of members to send, with the age of their states.

        Leaves out the receiver and this host.
        """
        return tuple(
            memberreport.MemberReport(
                member, int(now_ms - self._last_heard_ms[member.host])
            )
            for member in reported_members
            if member.host not in (receiver, self._own_host)
        )

    def newly_silent_hosts(self, now_ms: float) -> list[model.HostId]:
        """Return hosts whose news has just stopped, to reconnect to them.

        Whatever its zone, a host is returned from the same-zone timeout on,
        for two heartbeat intervals.
        """
        return [
            host
            for host, heard_ms in self._last_heard_ms.items()
            if SAME_ZONE_TIMEOUT_MS
            < now_ms - heard_ms
            < SAME_ZONE_TIMEOUT_MS + 2 * HEARTBEAT_INTERVAL_MS
        ]

    def remove_expired_members(self, now_ms: float) -> None:
        """Remove hosts without news for longer than the removal timeout."""
        for expired_host in [
            host
            for host, heard_ms in self._last_heard_ms.items()
            if now_ms - heard_ms > _REMOVAL_TIMEOUT_MS
        ]:
            del self._members[expired_host]
            del self._last_heard_ms[expired_host]

    def _is_newer(
        self, reported: members.Member, heard_ms: float, now_ms: float
    ) -> bool:
        """Return whether a reported state replaces the host's known one.

        Incarnations come from the wall clock, which may be set back before
        a restart. So a host that is not live may return with a smaller one.
        """
        known = self._members[reported.host]
        known_heard_ms = self._last_heard_ms[reported.host]
        if reported.incarnation == known.incarnation:
            return heard_ms >= known_heard_ms
        if reported.incarnation > known.incarnation:
            return True
        return heard_ms > known_heard_ms and not self._is_live(known, now_ms)

    def _is_live(self, member: members.Member, now_ms: float) -> bool:
        return now_ms <= self._expiry_ms(member)

    def _expiry_ms(self, member: members.Member) -> float:
        """Return the clock time until which a host's news keep it live."""
        timeout_ms = (
            SAME_ZONE_TIMEOUT_MS
            if member.zone == self._own_zone
            else OTHER_ZONE_TIMEOUT_MS
        )
        return self._last_heard_ms[member.host] + timeout_ms


def _get_precedence_key(member: members.Member) -> tuple[int, int, str]:
    return member.precedence_key
