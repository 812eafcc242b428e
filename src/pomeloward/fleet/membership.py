"""Decides which hosts are live, lead their zones and receive callers."""

import bisect
import collections.abc
import random

from pomeloward import model
from pomeloward.fleet import member as members
from pomeloward.fleet import memberreport
from pomeloward.fleet import membertable
from pomeloward.fleet import messages

# Leaders receive the heartbeats of all hosts of their zone.
LEADERS_PER_ZONE = 2
# Members of a zone that are reported to hosts of other zones, or more if more
# are active.
_MEMBERS_REPORTED_ACROSS_ZONES = 4
# Members of its own zone that a leader reports to the hosts of the zone. The
# members after them neither read the platform's store nor receive callers;
# reporting them too would cost the square of the zone's size.
_MEMBERS_REPORTED_WITHIN_ZONE = 16
# Leaders contact the seeds regularly, which may join two halves of a split
# fleet.
_SEED_DISCOVERY_INTERVAL_MS = 2_000.0
# Allows for a rise of the load until callers ask for addresses again.
_CAPACITY_HEADROOM_RATIO = 1.5
# A host with less than this part of the largest load in its zone gets only
# requests of callers that still have an earlier address answer.
_MIN_LOAD_RATIO = 0.1
# Older news say only that a host is not live.
_MAX_REPORT_AGE_MS = 3_600_000


class Membership:
    """A host's view of the fleet, kept up to date by heartbeats.

    The live hosts of a zone are ordered by precedence. The first two, ready
    ones before others, are its leaders. Every host sends heartbeats to the
    leaders of its zone. Leaders send theirs to all hosts of their zone and
    to the leaders of the other zones, with reports of the hosts that they
    have heard of. So an ordinary host keeps two links, whatever the size of
    the fleet, and only the links between leaders cross zones.
    """

    def __init__(
        self,
        own_member: members.Member,
        zones: collections.abc.Iterable[model.ZoneId],
        seeds: collections.abc.Iterable[model.HostId],
    ) -> None:
        self.own_member = own_member
        self._zones = {own_member.zone, *zones}
        self._seeds = [seed for seed in seeds if seed != own_member.host]
        self._table = membertable.MemberTable(own_member.host, own_member.zone)
        self._last_discovery_ms = float("-inf")

    def set_seeds(self, seeds: collections.abc.Iterable[model.HostId]) -> None:
        """Replace the seeds by those of changed settings."""
        self._seeds = [seed for seed in seeds if seed != self.own_member.host]

    def apply_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: float
    ) -> bool:
        """Update the membership from a received heartbeat.

        Returns whether a host became live, started anew or changed its state.
        Implausible members are ignored, since their heartbeat can come from
        a broken host.
        """
        is_changed = self._update_member(heartbeat.own, 0, now_ms)
        for report in heartbeat.others:
            is_changed |= self._update_member(
                report.member, report.age_ms, now_ms
            )
        return is_changed

    def _update_member(
        self, member: members.Member, age_ms: int, now_ms: float
    ) -> bool:
        if not member.is_plausible or member.zone not in self._zones:
            return False
        heard_ms = now_ms - max(0, min(age_ms, _MAX_REPORT_AGE_MS))
        return self._table.update_member(member, heard_ms, now_ms)

    def live_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the live hosts of a zone by precedence, this one included."""
        live = list(self._table.live_members(zone, now_ms))
        if zone == self.own_member.zone:
            bisect.insort(
                live,
                self.own_member,
                key=lambda member: member.precedence_key,
            )
        return live

    def ready_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the live hosts of a zone that accept callers."""
        return [
            member
            for member in self.live_members(zone, now_ms)
            if member.state is members.MemberState.READY
        ]

    def leaders(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the first live hosts of a zone, ready ones before others."""
        live = self.live_members(zone, now_ms)
        ready = [
            member
            for member in live
            if member.state is members.MemberState.READY
        ]
        if len(ready) >= LEADERS_PER_ZONE:
            return ready[:LEADERS_PER_ZONE]
        others = [
            member
            for member in live
            if member.state is not members.MemberState.READY
        ]
        return [*ready, *others][:LEADERS_PER_ZONE]

    def own_rank(self, now_ms: float) -> int:
        """Return this host's index in the live members of its zone."""
        live_hosts = [
            member.host
            for member in self.live_members(self.own_member.zone, now_ms)
        ]
        return live_hosts.index(self.own_member.host)

    def has_live_peers(self, now_ms: float) -> bool:
        """Return whether any other host is live."""
        return self._table.has_live_members(now_ms)

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether other hosts are known and none of them is live."""
        return len(self._table) > 0 and not self.has_live_peers(now_ms)

    def active_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the active hosts of a zone, which its callers are sent to.

        They are the first ready ones whose capacity carries the zone's load
        with headroom, so that few hosts see most of what a target does. Hosts
        without a path to targets are left out, unless no host has one.
        """
        return self._first_that_carry_load(
            self._members_with_path(zone, now_ms), zone, now_ms
        )

    def usual_active_members(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the hosts that are active while all have a path to targets.

        Callers may still have the addresses of those that lost it.
        """
        return self._first_that_carry_load(
            self.ready_members(zone, now_ms), zone, now_ms
        )

    def _members_with_path(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the ready hosts of a zone that have a path to targets.

        If no host of the fleet has one, it is the targets that are away, and
        all ready hosts of the zone are returned.
        """
        ready = self.ready_members(zone, now_ms)
        with_path = [member for member in ready if member.has_target_path]
        if with_path or any(
            member.has_target_path
            for other_zone in self._zones
            for member in self.ready_members(other_zone, now_ms)
        ):
            return with_path
        return ready

    def _first_that_carry_load(
        self,
        candidates: collections.abc.Iterable[members.Member],
        zone: model.ZoneId,
        now_ms: float,
    ) -> list[members.Member]:
        """Return the first candidates that carry the load of a zone."""
        needed_per_s = _CAPACITY_HEADROOM_RATIO * sum(
            member.load_per_s for member in self.ready_members(zone, now_ms)
        )
        active: list[members.Member] = []
        for member in candidates:
            active.append(member)
            needed_per_s -= member.capacity_per_s
            if needed_per_s <= 0:
                break
        return active

    def own_load_ratio(self, now_ms: float) -> float:
        """Return this host's part of the load of its zone, 0 to 1.

        Hosts with little load compared to another one have no part, so that
        few hosts divide what is scarce. Without any load the active hosts
        have equal parts. Hosts without a path to targets have no part.
        """
        own_zone = self.own_member.zone
        live = [
            member
            for member in self.live_members(own_zone, now_ms)
            if member.has_target_path
        ]
        if not live:
            return 0.0
        max_load_per_s = max(member.load_per_s for member in live)
        if max_load_per_s > 0:
            loaded = [
                member
                for member in live
                if member.load_per_s >= max_load_per_s * _MIN_LOAD_RATIO
            ]
            weights = {member.host: member.load_per_s for member in loaded}
        else:
            active = self.active_members(own_zone, now_ms)
            weights = {member.host: 1 for member in active}
        own_weight = weights.get(self.own_member.host, 0)
        return own_weight / max(1, sum(weights.values()))

    def members_for_callers(
        self, zone: model.ZoneId, now_ms: float
    ) -> list[members.Member]:
        """Return the hosts that the callers of a zone are sent to.

        They are the zone's active hosts, or those of all zones when it has
        none. An isolated host returns none, so that callers ask another
        host.
        """
        if self.is_isolated(now_ms):
            return []
        active = self.active_members(zone, now_ms)
        if active:
            return active
        return [
            member
            for other_zone in sorted(self._zones)
            for member in self.active_members(other_zone, now_ms)
        ]

    def all_active_members(self, now_ms: float) -> list[members.Member]:
        """Return the active hosts of all zones."""
        return [
            member
            for zone in self._zones
            for member in self.active_members(zone, now_ms)
        ]

    def relay_members(
        self, now_ms: float, rng: random.Random
    ) -> list[members.Member]:
        """Return other active hosts that have a path to targets.

        Those of this host's zone come first, since links between zones cost
        more. The other zones share the requests of a zone without any.
        """
        own_zone = self.own_member.zone
        other_zones = sorted(self._zones - {own_zone})
        rng.shuffle(other_zones)
        return [
            member
            for zone in (own_zone, *other_zones)
            for member in self.active_members(zone, now_ms)
            if member.has_target_path and member.host != self.own_member.host
        ]

    def has_member_without_path(self, now_ms: float) -> bool:
        """Return whether any other live host has lost its path to targets."""
        return any(
            not member.has_target_path
            for zone in self._zones
            for member in self._table.live_members(zone, now_ms)
        )

    @property
    def known_host_count(self) -> int:
        """The number of known hosts, live or not, this one included."""
        return 1 + len(self._table)

    def zone_of(self, host: model.HostId) -> model.ZoneId | None:
        """Return the zone of another host, or None if it is unknown."""
        member = self._table.get(host)
        return member.zone if member is not None else None

    @property
    def zones(self) -> frozenset[model.ZoneId]:
        """The availability zones of the fleet."""
        return frozenset(self._zones)

    @property
    def zone_count(self) -> int:
        """The number of availability zones of the fleet."""
        return len(self._zones)

    def is_leader(self, now_ms: float) -> bool:
        """Return whether this host is a leader of its zone."""
        return any(
            leader.host == self.own_member.host
            for leader in self.leaders(self.own_member.zone, now_ms)
        )

    def gossip_peers(self, now_ms: float) -> set[model.HostId]:
        """Return the hosts to send heartbeats and other news to.

        For a leader they are the live hosts of its zone and the leaders of
        the other zones, for another host the leaders of its zone.
        """
        own_zone = self.own_member.zone
        if not self.is_leader(now_ms):
            hosts = {leader.host for leader in self.leaders(own_zone, now_ms)}
        else:
            hosts = {
                member.host for member in self.live_members(own_zone, now_ms)
            }
            for other_zone in self._zones - {own_zone}:
                hosts |= {
                    leader.host for leader in self.leaders(other_zone, now_ms)
                }
        hosts.discard(self.own_member.host)
        return hosts

    def start_seed_discovery(self, now_ms: float) -> list[model.HostId]:
        """Start a round of discovery if one is due; return the seeds to ask.

        Hosts without gossip peers start a round each time. Leaders start one
        at an interval, which joins the halves of a fleet that was split.
        """
        is_due = (
            now_ms - self._last_discovery_ms >= _SEED_DISCOVERY_INTERVAL_MS
        )
        if self.gossip_peers(now_ms) and not (
            is_due and self.is_leader(now_ms)
        ):
            return []
        self._last_discovery_ms = now_ms
        return list(self._seeds)

    def reports_for(
        self, receiver: model.HostId, now_ms: float
    ) -> tuple[memberreport.MemberReport, ...]:
        """Return the reports for a heartbeat to a gossip peer.

        Leaders report the first hosts of all zones to hosts of their own
        zone, and the first hosts of their own zone to hosts of other zones.
        Other hosts report none.
        """
        receiving_member = self._table.get(receiver)
        if receiving_member is None or not self.is_leader(now_ms):
            return ()
        own_zone = self.own_member.zone
        reported = self._first_members(
            own_zone, _MEMBERS_REPORTED_ACROSS_ZONES, now_ms
        )
        if receiving_member.zone == own_zone:
            reported = self._first_members(
                own_zone, _MEMBERS_REPORTED_WITHIN_ZONE, now_ms
            )
            for other_zone in self._zones - {own_zone}:
                reported += self._first_members(
                    other_zone, _MEMBERS_REPORTED_ACROSS_ZONES, now_ms
                )
        return self._table.reports(reported, receiver, now_ms)

    def discovery_reports(
        self, receiver: model.HostId, now_ms: float
    ) -> tuple[memberreport.MemberReport, ...]:
        """Return reports of the first hosts of all zones for one that asks."""
        reported = [
            member
            for zone in self._zones
            for member in self._first_members(
                zone, _MEMBERS_REPORTED_ACROSS_ZONES, now_ms
            )
        ]
        return self._table.reports(reported, receiver, now_ms)

    def _first_members(
        self, zone: model.ZoneId, min_count: int, now_ms: float
    ) -> list[members.Member]:
        """Return the first live hosts of a zone by precedence.

        Their number is ``min_count``, or larger so that they include all
        active hosts, and the next one, whatever hosts come before these.
        """
        live = self.live_members(zone, now_ms)
        active = self.active_members(zone, now_ms)
        if not active:
            return live[:min_count]
        last_active_host = active[-1].host
        count = next(
            index + 2
            for index, member in enumerate(live)
            if member.host == last_active_host
        )
        return live[: max(min_count, count)]

    def remove_expired_members(self, now_ms: float) -> None:
        """Remove hosts that have been silent for long."""
        self._table.remove_expired_members(now_ms)

    def newly_silent_hosts(self, now_ms: float) -> list[model.HostId]:
        """Return hosts whose news has just stopped, to reconnect to them."""
        return self._table.newly_silent_hosts(now_ms)
