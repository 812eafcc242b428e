"""The decisions of membership."""

import collections.abc

from pomeloward import model
from pomeloward.fleet import member as members
from pomeloward.fleet import memberreport
from pomeloward.fleet import membertable
from pomeloward.fleet import messages

# The hosts of a zone that hear all others of it.
LEADERS_PER_ZONE = 2
# Members of its zone that a leader tells to other zones.
_TOLD_REMOTE = 4
# The hosts of its zone that a leader tells to the others of it. Those after
# them take neither the store's reader's place nor callers; telling all of
# them would cost the square of the zone's size.
_TOLD_NEAR = 16
# Seeds are asked again, since they may join two halves of a split fleet.
_SEED_INTERVAL_MS = 2_000.0
# Room for a rise of the load until callers ask for addresses again.
_HEADROOM = 1.5


class Membership:
    """Knows the other hosts by their beats.

    Every host beats to the first two of its zone, its leaders. Leaders beat
    to all hosts of their zone and to the leaders of the others, and tell
    what they have heard. So a host keeps two links, whatever the size of
    the fleet, and only the links between leaders cross zones.
    """

    def __init__(
        self,
        own: members.Member,
        zones: collections.abc.Iterable[model.ZoneId],
        seeds: collections.abc.Iterable[model.HostId],
    ) -> None:
        self.own_member = own
        self._zones = {own.zone, *zones}
        self._seeds = [seed for seed in seeds if seed != own.host]
        self._table = membertable.MemberTable(own.host, own.zone)
        self._seeds_asked_ms = float("-inf")

    def set_seeds(self, seeds: collections.abc.Iterable[model.HostId]) -> None:
        """Take the seeds of changed settings."""
        self._seeds = [seed for seed in seeds if seed != self.own_member.host]

    def apply_heartbeat(self, beat: messages.Heartbeat, now_ms: float) -> bool:
        """Take a beat; return whether a host came, left or changed state."""
        changed = self._table.update_member(beat.own, now_ms, now_ms)
        for seen in beat.others:
            heard_ms = now_ms - seen.age_ms
            changed |= self._table.update_member(seen.member, heard_ms, now_ms)
        return changed

    def live_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the hosts of a zone that run, in their order."""
        found = [
            one for one in self._table.live_members(now_ms) if one.zone == zone
        ]
        if zone == self.own_member.zone:
            found.append(self.own_member)
        return sorted(found, key=lambda one: one.precedence_key)

    def ready_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the hosts of a zone that take callers, in their order."""
        return [
            one
            for one in self.live_members(zone, now_ms)
            if one.state is members.MemberState.READY
        ]

    def leaders(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the first hosts of a zone; starting ones come last."""
        return sorted(
            self.live_members(zone, now_ms),
            key=lambda one: (
                one.state is not members.MemberState.READY,
                one.precedence_key,
            ),
        )[:LEADERS_PER_ZONE]

    def own_rank(self, now_ms: float) -> int:
        """Return this host's place among the running ones of its zone."""
        ordered = [
            one.host for one in self.live_members(self.own_member.zone, now_ms)
        ]
        return ordered.index(self.own_member.host)

    def has_live_peers(self, now_ms: float) -> bool:
        """Tell whether any other host is heard of."""
        return bool(self._table.live_members(now_ms))

    def is_isolated(self, now_ms: float) -> bool:
        """Tell whether this host heard others before, and now none."""
        return len(self._table) > 0 and not self.has_live_peers(now_ms)

    def active_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the hosts that the callers of a zone are sent to.

        They are the first ones whose capacity carries the zone's load with
        headroom: few hosts see most of what a target does.
        """
        ready = self.ready_members(zone, now_ms)
        needed = _HEADROOM * sum(one.load_per_s for one in ready)
        chosen: list[members.Member] = []
        for one in ready:
            chosen.append(one)
            needed -= one.capacity_per_s
            if needed <= 0:
                break
        return chosen

    def members_for_callers(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return whom a zone's callers are sent to, in it or elsewhere.

        An isolated host names nobody, so that callers ask another one.
        """
        if self.is_isolated(now_ms):
            return []
        chosen = self.active_members(zone, now_ms)
        if chosen:
            return chosen
        return [
            one
            for other in sorted(self._zones)
            for one in self.active_members(other, now_ms)
        ]

    def all_active_members(self, now_ms: float) -> list[members.Member]:
        """Return the active hosts of all zones."""
        return [
            one
            for zone in self._zones
            for one in self.active_members(zone, now_ms)
        ]

    @property
    def known_host_count(self) -> int:
        """The number of hosts heard of lately, this one included."""
        return 1 + len(self._table)

    def zone_of(self, host: model.HostId) -> model.ZoneId | None:
        """Return the availability zone of a host."""
        found = self._table.get(host)
        return found.zone if found is not None else None

    @property
    def zones(self) -> frozenset[model.ZoneId]:
        """The availability zones of the fleet."""
        return frozenset(self._zones)

    @property
    def zone_count(self) -> int:
        """The number of availability zones."""
        return len(self._zones)

    def is_leader(self, now_ms: float) -> bool:
        """Tell whether this host is among the leaders of its zone."""
        return any(
            one.host == self.own_member.host
            for one in self.leaders(self.own_member.zone, now_ms)
        )

    def gossip_peers(self, now_ms: float) -> set[model.HostId]:
        """Return the hosts that this one tells what it learns."""
        zone = self.own_member.zone
        if not self.is_leader(now_ms):
            chosen = {one.host for one in self.leaders(zone, now_ms)}
        else:
            chosen = {one.host for one in self.live_members(zone, now_ms)}
            for other in self._zones - {zone}:
                chosen |= {one.host for one in self.leaders(other, now_ms)}
        chosen.discard(self.own_member.host)
        return chosen

    def start_seed_discovery(self, now_ms: float) -> list[model.HostId]:
        """Return the seeds to ask for other hosts, when it is time.

        Hosts without contacts ask at once. Leaders ask now and then, which
        joins the halves of a fleet that was split.
        """
        is_due = now_ms - self._seeds_asked_ms >= _SEED_INTERVAL_MS
        if self.gossip_peers(now_ms) and not (
            is_due and self.is_leader(now_ms)
        ):
            return []
        self._seeds_asked_ms = now_ms
        return list(self._seeds)

    def reports_for(
        self, host: model.HostId, now_ms: float
    ) -> tuple[memberreport.MemberReport, ...]:
        """Return what to tell a contact of others.

        Leaders tell their zone the first hosts of all zones that they
        know, and leaders of other zones the first hosts of their own. Other
        hosts have nothing to tell.
        """
        found = self._table.get(host)
        if found is None or not self.is_leader(now_ms):
            return ()
        zone = self.own_member.zone
        told = self._top_members(zone, _TOLD_REMOTE, now_ms)
        if found.zone == zone:
            told = self.live_members(zone, now_ms)[:_TOLD_NEAR]
            for other in self._zones - {zone}:
                told += self._top_members(other, _TOLD_REMOTE, now_ms)
        return self._table.reports(told, host, now_ms)

    def discovery_reports(
        self, host: model.HostId, now_ms: float
    ) -> tuple[memberreport.MemberReport, ...]:
        """Return the first hosts of all zones, for one that asks."""
        told = [
            one
            for zone in self._zones
            for one in self._top_members(zone, _TOLD_REMOTE, now_ms)
        ]
        return self._table.reports(told, host, now_ms)

    def _top_members(
        self, zone: model.ZoneId, count: int, now_ms: float
    ) -> list[members.Member]:
        """Return the first hosts of a zone, all active ones included."""
        most = max(count, 1 + len(self.active_members(zone, now_ms)))
        return self.live_members(zone, now_ms)[:most]

    def remove_expired_members(self, now_ms: float) -> None:
        """Drop hosts that have been silent for long."""
        self._table.remove_expired_members(now_ms)

    def newly_silent_hosts(self, now_ms: float) -> list[model.HostId]:
        """Return hosts whose beats have just stopped, to connect anew."""
        return self._table.newly_silent_hosts(now_ms)
