"""Tests of membership, leaders and the hosts that callers are sent to."""

import random

import msgspec
import pytest

from pomeloward import fleet
from pomeloward import model
from pomeloward.fleet import membertable

_READY = fleet.MemberState.READY
_STEP_MS = 100.0


class FleetSimulation:
    """Simulates the memberships of hosts that exchange heartbeats.

    ``host_counts`` is the number of hosts of each zone. ``cut_links`` holds
    pairs of sender and receiver; a heartbeat in either direction between
    them is lost.
    """

    def __init__(self, host_counts, seeds=None):
        self.now_ms = 0.0
        self.dead_hosts = set()
        self.cut_links = set()
        self.sent_counts = {}
        self.round_numbers = {}
        self.memberships = {}
        self.next_heartbeat_ms = {}
        self._zones = list(host_counts)
        zones_and_hosts = [
            (zone, f"10.{zone_index}.0.{host_index}:80")
            for zone_index, (zone, host_count) in enumerate(
                host_counts.items()
            )
            for host_index in range(host_count)
        ]
        self.seeds = seeds or [zones_and_hosts[0][1], zones_and_hosts[-1][1]]
        for zone, host in zones_and_hosts:
            self.start_host(zone, host)

    def start_host(self, zone, host):
        member = fleet.Member(
            model.HostId(host),
            model.ZoneId(zone),
            model.Incarnation(int(self.now_ms) + 1),
            _READY,
        )
        self.memberships[host] = fleet.Membership(
            member, self._zones, self.seeds
        )
        self.next_heartbeat_ms[host] = self.now_ms
        self.dead_hosts.discard(host)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            for host, membership in self.memberships.items():
                if (
                    host in self.dead_hosts
                    or self.now_ms < self.next_heartbeat_ms[host]
                ):
                    continue
                self.next_heartbeat_ms[host] = (
                    self.now_ms + membertable.HEARTBEAT_INTERVAL_MS
                )
                self._send_heartbeats(host, membership)

    def _send_heartbeats(self, host, membership):
        # As HeartbeatExchange does, every second round stays in the zone.
        round_number = self.round_numbers.get(host, 0)
        self.round_numbers[host] = round_number + 1
        own_zone = membership.own_member.zone
        for receiver in membership.gossip_peers(self.now_ms):
            is_remote = membership.zone_of(receiver) != own_zone
            if is_remote and round_number % 2:
                continue
            reports = membership.reports_for(receiver, self.now_ms)
            self._deliver(host, receiver, reports)
        for seed in membership.start_seed_discovery(self.now_ms):
            if self._deliver(host, seed, ()):
                reports = self.memberships[seed].discovery_reports(
                    host, self.now_ms
                )
                self._deliver(seed, host, reports)

    def _deliver(self, sender, receiver, reports):
        """Send a heartbeat; return whether it arrived."""
        self.sent_counts[sender] = self.sent_counts.get(sender, 0) + 1
        cut_directions = {
            (sender, receiver),
            (receiver, sender),
        } & self.cut_links
        if (
            cut_directions
            or receiver in self.dead_hosts
            or receiver not in self.memberships
        ):
            return False
        heartbeat = fleet.Heartbeat(
            own=self.memberships[sender].own_member, others=reports
        )
        self.memberships[receiver].apply_heartbeat(heartbeat, self.now_ms)
        return True

    def hosts_for_callers(self, answering_host, zone):
        return [
            member.host
            for member in self.memberships[answering_host].members_for_callers(
                model.ZoneId(zone), self.now_ms
            )
        ]


@pytest.mark.parametrize("host_counts", [{"a": 12, "b": 12}, {"a": 1, "b": 3}])
def test_hosts_discover_each_other_through_seeds(host_counts):
    simulation = FleetSimulation(host_counts)
    simulation.run(3_000)
    for zone in host_counts:
        answers = {
            tuple(simulation.hosts_for_callers(host, zone))
            for host in simulation.memberships
        }
        assert len(answers) == 1
        (answer,) = answers
        assert len(answer) == 1


def test_dead_host_gets_no_callers():
    """No address answer may name a host that is dead for six seconds."""
    simulation = FleetSimulation({"a": 4, "b": 4, "c": 4})
    simulation.run(3_000)
    (active_host,) = simulation.hosts_for_callers(
        next(iter(simulation.memberships)), "b"
    )
    simulation.dead_hosts.add(active_host)
    simulation.run(3_500)
    for host in simulation.memberships.keys() - simulation.dead_hosts:
        assert active_host not in simulation.hosts_for_callers(host, "b")


def test_callers_of_a_zone_without_hosts_are_sent_to_other_zones():
    simulation = FleetSimulation({"a": 3, "b": 3})
    simulation.run(3_000)
    simulation.dead_hosts = {
        host for host in simulation.memberships if host.startswith("10.1.")
    }
    simulation.run(4_000)
    for host in simulation.memberships.keys() - simulation.dead_hosts:
        answer = simulation.hosts_for_callers(host, "b")
        assert answer and not set(answer) & simulation.dead_hosts


def test_restarted_host_is_found_when_all_seeds_are_dead():
    simulation = FleetSimulation({"a": 4, "b": 4})
    simulation.run(3_000)
    simulation.dead_hosts.update(simulation.seeds)
    simulation.run(4_000)
    restarted_host = "10.0.0.2:80"
    simulation.start_host("a", restarted_host)
    simulation.run(3_000)
    other_hosts = (
        simulation.memberships.keys()
        - simulation.dead_hosts
        - {restarted_host}
    )
    for host in other_hosts:
        live_members = simulation.memberships[host].live_members(
            model.ZoneId("a"), simulation.now_ms
        )
        assert restarted_host in [member.host for member in live_members]


def test_zones_rejoin_after_a_network_partition():
    simulation = FleetSimulation({"a": 4, "b": 4})
    simulation.run(3_000)
    simulation.cut_links = {
        (sender, receiver)
        for sender in simulation.memberships
        for receiver in simulation.memberships
        if sender[:5] != receiver[:5]
    }
    simulation.run(10_000)
    simulation.cut_links = set()
    simulation.run(5_000)
    for host in simulation.memberships:
        assert simulation.hosts_for_callers(host, "a")[0].startswith("10.0.")
        assert simulation.hosts_for_callers(host, "b")[0].startswith("10.1.")


def test_restarted_host_does_not_take_its_callers_back():
    simulation = FleetSimulation({"a": 4, "b": 4})
    simulation.run(6_000)
    (first_host,) = simulation.hosts_for_callers("10.1.0.0:80", "a")
    simulation.dead_hosts.add(first_host)
    simulation.run(4_000)
    (second_host,) = simulation.hosts_for_callers("10.1.0.0:80", "a")
    simulation.start_host("a", first_host)
    simulation.run(4_000)
    assert simulation.hosts_for_callers("10.1.0.0:80", "a") == [second_host]


def test_host_that_turns_slow_loses_its_callers_at_once():
    """All callers of a zone were sent to a host at a seventh of its speed."""
    simulation = FleetSimulation({"a": 4, "b": 4})
    simulation.run(3_000)
    (active_host,) = simulation.hosts_for_callers("10.1.0.0:80", "a")
    membership = simulation.memberships[active_host]
    membership.own_member = msgspec.structs.replace(
        membership.own_member, capacity_per_s=10
    )
    simulation.run(1_000)
    answers = {
        tuple(simulation.hosts_for_callers(host, "a"))
        for host in simulation.memberships
    }
    assert len(answers) == 1
    assert active_host not in answers.pop()


def test_zone_load_decides_how_many_hosts_are_active():
    simulation = FleetSimulation({"a": 5, "b": 2})
    for host, membership in simulation.memberships.items():
        is_loaded = host in ("10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80")
        membership.own_member = msgspec.structs.replace(
            membership.own_member,
            capacity_per_s=100,
            load_per_s=50 * is_loaded,
        )
    simulation.run(3_000)
    # 150 requests/s with headroom need 225, which three hosts carry.
    assert len(simulation.hosts_for_callers("10.1.0.0:80", "a")) == 3


@pytest.mark.parametrize("zone_size", [8, 80])
def test_heartbeats_of_a_non_leader_do_not_grow_with_the_fleet(zone_size):
    simulation = FleetSimulation({"a": zone_size, "b": zone_size})
    simulation.run(4_000)
    simulation.sent_counts.clear()
    simulation.run(4_000)
    sent_by_non_leaders = [
        sent_count
        for host, sent_count in simulation.sent_counts.items()
        if not simulation.memberships[host].is_leader(simulation.now_ms)
    ]
    # Heartbeats to two leaders, and answers to the four leaders that ask a
    # seed every two seconds.
    assert (
        max(sent_by_non_leaders)
        <= 4_000 / membertable.HEARTBEAT_INTERVAL_MS * 2 + 4 * 2
    )


def test_draining_host_gets_no_callers():
    simulation = FleetSimulation({"a": 3, "b": 3})
    simulation.run(3_000)
    (active_host,) = simulation.hosts_for_callers("10.1.0.0:80", "a")
    membership = simulation.memberships[active_host]
    membership.own_member = msgspec.structs.replace(
        membership.own_member, state=fleet.MemberState.DRAINING
    )
    simulation.run(1_500)
    assert active_host not in simulation.hosts_for_callers("10.1.0.0:80", "a")


def test_isolated_host_answers_callers_with_no_hosts():
    """Callers then ask another host and don't stay with the isolated one."""
    simulation = FleetSimulation({"a": 3, "b": 3})
    simulation.run(3_000)
    isolated_host = "10.0.0.0:80"
    simulation.cut_links = {
        (isolated_host, other) for other in simulation.memberships
    }
    simulation.run(4_000)
    assert simulation.hosts_for_callers(isolated_host, "a") == []
    assert isolated_host not in simulation.hosts_for_callers(
        "10.0.0.1:80", "a"
    )


def test_single_host_answers_callers_with_itself():
    simulation = FleetSimulation({"a": 1})
    simulation.run(1_000)
    assert simulation.hosts_for_callers("10.0.0.0:80", "a") == ["10.0.0.0:80"]


def test_callers_are_sent_to_the_largest_host():
    """One host of five times the capacity gathers all evidence of its zone."""
    simulation = FleetSimulation({"a": 4, "b": 2})
    large_host = "10.0.0.3:80"
    membership = simulation.memberships[large_host]
    membership.own_member = msgspec.structs.replace(
        membership.own_member, capacity_per_s=500
    )
    simulation.run(3_000)
    for host in simulation.memberships:
        assert simulation.hosts_for_callers(host, "a") == [large_host]


def test_hosts_without_a_zone_mate_spread_what_they_relay_over_the_zones():
    """One zone got the relayed requests of all others."""
    fleet_simulation = FleetSimulation({"a": 1, "b": 1, "c": 1, "d": 1})
    fleet_simulation.run(3_000)
    membership = fleet_simulation.memberships["10.0.0.0:80"]
    rng = random.Random(1)
    first_zones = {
        membership.relay_members(fleet_simulation.now_ms, rng)[0].zone
        for _ in range(50)
    }
    assert first_zones == {"b", "c", "d"}


def test_host_restarted_with_its_clock_set_back_is_live():
    simulation = FleetSimulation({"a": 3, "b": 2})
    simulation.run(3_000)
    restarted_host = "10.0.0.1:80"
    simulation.dead_hosts.add(restarted_host)
    simulation.run(3_000)
    simulation.start_host("a", restarted_host)
    membership = simulation.memberships[restarted_host]
    membership.own_member = msgspec.structs.replace(
        membership.own_member, incarnation=model.Incarnation(-5_000)
    )
    simulation.run(3_000)
    live_members = simulation.memberships["10.0.0.0:80"].live_members(
        model.ZoneId("a"), simulation.now_ms
    )
    assert restarted_host in [member.host for member in live_members]


def _reports_per_round(zone_size):
    """Return how many reports a leader sends in one round of heartbeats."""
    simulation = FleetSimulation({"a": zone_size, "b": 3})
    simulation.run(4_000)
    leader = simulation.memberships["10.0.0.0:80"]
    return sum(
        len(leader.reports_for(receiver, simulation.now_ms))
        for receiver in leader.gossip_peers(simulation.now_ms)
    )


def test_reports_of_a_leader_grow_no_faster_than_its_zone():
    """Reporting all hosts to all hosts cost 880 kB/s in a zone of 75."""
    assert _reports_per_round(80) <= 2.2 * _reports_per_round(40)


def test_hosts_agree_after_a_large_zone_loses_half_of_its_hosts():
    simulation = FleetSimulation(
        {"a": 40, "b": 3}, seeds=["10.0.0.3:80", "10.1.0.1:80"]
    )
    simulation.run(4_000)
    simulation.dead_hosts = {
        host
        for host in simulation.memberships
        if host.startswith("10.0.") and int(host.split(".")[3][:-3]) % 2 == 0
    }
    simulation.run(6_000)
    live_hosts = simulation.memberships.keys() - simulation.dead_hosts
    answers = {
        tuple(simulation.hosts_for_callers(host, "a")) for host in live_hosts
    }
    assert len(answers) == 1
    assert not set(answers.pop()) & simulation.dead_hosts


def test_asking_for_live_hosts_costs_no_sort_without_news(monkeypatch):
    """In a fleet of hundreds, decisions must not sort all hosts each time.

    Idle hosts spent most of their processor time on that.
    """
    zones = [f"zone-{index}" for index in range(10)]
    own_member = fleet.Member(
        model.HostId("10.0.0.0:80"),
        model.ZoneId(zones[0]),
        model.Incarnation(1),
        _READY,
    )
    membership = fleet.Membership(own_member, zones, ())
    heartbeats = [
        fleet.Heartbeat(
            own=msgspec.structs.replace(
                own_member,
                host=model.HostId(f"10.0.{index}.1:80"),
                zone=model.ZoneId(zones[index % 10]),
            )
        )
        for index in range(644)
    ]
    for heartbeat in heartbeats:
        membership.apply_heartbeat(heartbeat, 0.0)
    key_count = 0
    key_of = fleet.Member.precedence_key.fget

    def counted(member):
        nonlocal key_count
        key_count += 1
        return key_of(member)

    monkeypatch.setattr(fleet.Member, "precedence_key", property(counted))
    for now_ms in range(100, 1_100, 10):
        membership.all_active_members(now_ms)
        membership.own_rank(now_ms)
        membership.gossip_peers(now_ms)
        for heartbeat in heartbeats[:20]:
            membership.apply_heartbeat(heartbeat, now_ms)
    # One sort of all hosts, and a binary search for each question about the
    # own zone.
    assert key_count < 2 * 645 + 100 * 6 * 10


def test_hosts_become_silent_and_return_between_changes():
    simulation = FleetSimulation({"a": 3})
    simulation.run(1_000)
    first, second, _ = simulation.memberships
    simulation.dead_hosts.add(first)
    membership = simulation.memberships[second]

    def live_hosts():
        live = membership.live_members(model.ZoneId("a"), simulation.now_ms)
        return [member.host for member in live]

    assert first in live_hosts()
    simulation.run(membertable.SAME_ZONE_TIMEOUT_MS + 500)
    assert first not in live_hosts()
    simulation.start_host("a", first)
    simulation.run(1_000)
    assert first in live_hosts()


def test_hosts_with_little_load_have_no_part_of_what_is_scarce():
    """Many hosts without callers each took a request of a limited target."""
    fleets = FleetSimulation({"a": 8, "b": 2})
    for host, load_per_s in zip(
        [host for host in fleets.memberships if host.startswith("10.0")],
        (40, 20, 5, 3, 1, 1, 0, 0),
        strict=True,
    ):
        membership = fleets.memberships[host]
        membership.own_member = msgspec.structs.replace(
            membership.own_member, load_per_s=load_per_s
        )
    fleets.run(3_000.0)
    ratios = [
        fleets.memberships[f"10.0.0.{index}:80"].own_load_ratio(fleets.now_ms)
        for index in range(8)
    ]
    assert ratios == [40 / 65, 20 / 65, 5 / 65, 0, 0, 0, 0, 0]
    idle_ratios = [
        fleets.memberships[f"10.1.0.{index}:80"].own_load_ratio(fleets.now_ms)
        for index in range(2)
    ]
    assert idle_ratios == [1.0, 0.0]
