"""Tests of membership, leaders and whom callers are sent to."""

import msgspec
import pytest

from pomeloward import fleet
from pomeloward import model
from pomeloward.fleet import membertable

_READY = fleet.MemberState.READY
_STEP_MS = 100.0


class Fleet:
    """Rosters that beat to each other over a network with cuts."""

    def __init__(self, sizes, seeds=None):
        self.now_ms = 0.0
        self.dead = set()
        self.cuts = set()
        self.messages = {}
        self.rosters = {}
        self.next_ms = {}
        self._zones = list(sizes)
        names = [
            (zone, f"10.{z}.0.{n}:80")
            for z, (zone, count) in enumerate(sizes.items())
            for n in range(count)
        ]
        self.seeds = seeds or [names[0][1], names[-1][1]]
        for zone, host in names:
            self.start(zone, host)

    def start(self, zone, host):
        member = fleet.Member(
            model.HostId(host),
            model.ZoneId(zone),
            model.Incarnation(int(self.now_ms) + 1),
            _READY,
        )
        self.rosters[host] = fleet.Membership(member, self._zones, self.seeds)
        self.next_ms[host] = self.now_ms
        self.dead.discard(host)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            for host, roster in self.rosters.items():
                if host in self.dead or self.now_ms < self.next_ms[host]:
                    continue
                self.next_ms[host] = (
                    self.now_ms + membertable.HEARTBEAT_INTERVAL_MS
                )
                self._beat(host, roster)

    def _beat(self, host, roster):
        for receiver in roster.gossip_peers(self.now_ms):
            others = roster.reports_for(receiver, self.now_ms)
            self._carry(host, receiver, others)
        for seed in roster.start_seed_discovery(self.now_ms):
            if self._carry(host, seed, ()):
                others = self.rosters[seed].discovery_reports(
                    host, self.now_ms
                )
                self._carry(seed, host, others)

    def _carry(self, host, receiver, others):
        self.messages[host] = self.messages.get(host, 0) + 1
        is_lost = {(host, receiver), (receiver, host)} & self.cuts
        if is_lost or receiver in self.dead or receiver not in self.rosters:
            return False
        beat = fleet.Heartbeat(
            own=self.rosters[host].own_member, others=others
        )
        self.rosters[receiver].apply_heartbeat(beat, self.now_ms)
        return True

    def addressed(self, host, zone):
        return [
            one.host
            for one in self.rosters[host].members_for_callers(
                model.ZoneId(zone), self.now_ms
            )
        ]


@pytest.mark.parametrize("sizes", [{"a": 12, "b": 12}, {"a": 1, "b": 3}])
def test_hosts_find_each_other_by_seeds(sizes):
    world = Fleet(sizes)
    world.run(3_000)
    for zone in sizes:
        answers = {tuple(world.addressed(h, zone)) for h in world.rosters}
        assert len(answers) == 1
        (answer,) = answers
        assert len(answer) == 1


def test_dead_host_is_not_addressed():
    """No address answer names a host that is dead for six seconds."""
    world = Fleet({"a": 4, "b": 4, "c": 4})
    world.run(3_000)
    (first,) = world.addressed(next(iter(world.rosters)), "b")
    world.dead.add(first)
    world.run(3_500)
    for host in world.rosters.keys() - world.dead:
        assert first not in world.addressed(host, "b")


def test_zone_without_hosts_is_served_by_others():
    world = Fleet({"a": 3, "b": 3})
    world.run(3_000)
    world.dead = {h for h in world.rosters if h.startswith("10.1.")}
    world.run(4_000)
    for host in world.rosters.keys() - world.dead:
        answer = world.addressed(host, "b")
        assert answer and not set(answer) & world.dead


def test_seeds_may_all_be_dead_after_the_start():
    world = Fleet({"a": 4, "b": 4})
    world.run(3_000)
    world.dead.update(world.seeds)
    world.run(4_000)
    restarted = "10.0.0.2:80"
    world.start("a", restarted)
    world.run(3_000)
    others = world.rosters.keys() - world.dead - {restarted}
    for host in others:
        alive = world.rosters[host].live_members(
            model.ZoneId("a"), world.now_ms
        )
        assert restarted in [one.host for one in alive]


def test_cut_zones_join_again():
    world = Fleet({"a": 4, "b": 4})
    world.run(3_000)
    world.cuts = {
        (one, two)
        for one in world.rosters
        for two in world.rosters
        if one[:5] != two[:5]
    }
    world.run(10_000)
    world.cuts = set()
    world.run(5_000)
    for host in world.rosters:
        assert world.addressed(host, "a")[0].startswith("10.0.")
        assert world.addressed(host, "b")[0].startswith("10.1.")


def test_restarted_host_does_not_take_its_callers_back():
    world = Fleet({"a": 4, "b": 4})
    world.run(6_000)
    (first,) = world.addressed("10.1.0.0:80", "a")
    world.dead.add(first)
    world.run(4_000)
    (second,) = world.addressed("10.1.0.0:80", "a")
    world.start("a", first)
    world.run(4_000)
    assert world.addressed("10.1.0.0:80", "a") == [second]


def test_host_that_turns_slow_loses_its_callers_at_once():
    """Callers of a zone met on a host at a seventh of its speed."""
    world = Fleet({"a": 4, "b": 4})
    world.run(3_000)
    (first,) = world.addressed("10.1.0.0:80", "a")
    roster = world.rosters[first]
    roster.own_member = msgspec.structs.replace(
        roster.own_member, capacity_per_s=10
    )
    world.run(1_000)
    answers = {tuple(world.addressed(h, "a")) for h in world.rosters}
    assert len(answers) == 1
    assert first not in answers.pop()


def test_load_decides_how_many_hosts_are_active():
    world = Fleet({"a": 5, "b": 2})
    for host, roster in world.rosters.items():
        is_used = host in ("10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80")
        roster.own_member = msgspec.structs.replace(
            roster.own_member, capacity_per_s=100, load_per_s=50 * is_used
        )
    world.run(3_000)
    # 150 requests/s with headroom need 225, which three hosts carry.
    assert len(world.addressed("10.1.0.0:80", "a")) == 3


@pytest.mark.parametrize("count", [8, 80])
def test_messages_of_an_ordinary_host_do_not_grow_with_the_fleet(count):
    world = Fleet({"a": count, "b": count})
    world.run(4_000)
    world.messages.clear()
    world.run(4_000)
    ordinary = [
        sent
        for host, sent in world.messages.items()
        if not world.rosters[host].is_leader(world.now_ms)
    ]
    # Beats to two leaders, and introductions to the four leaders that ask
    # a seed every two seconds.
    assert (
        max(ordinary) <= 4_000 / membertable.HEARTBEAT_INTERVAL_MS * 2 + 4 * 2
    )


def test_draining_host_is_not_addressed():
    world = Fleet({"a": 3, "b": 3})
    world.run(3_000)
    (first,) = world.addressed("10.1.0.0:80", "a")
    roster = world.rosters[first]
    roster.own_member = msgspec.structs.replace(
        roster.own_member, state=fleet.MemberState.DRAINING
    )
    world.run(1_500)
    assert first not in world.addressed("10.1.0.0:80", "a")


def test_isolated_host_names_nobody():
    """Callers then ask another host and don't stay with a cut one."""
    world = Fleet({"a": 3, "b": 3})
    world.run(3_000)
    cut = "10.0.0.0:80"
    world.cuts = {(cut, other) for other in world.rosters}
    world.run(4_000)
    assert world.addressed(cut, "a") == []
    assert cut not in world.addressed("10.0.0.1:80", "a")


def test_single_host_names_itself():
    world = Fleet({"a": 1})
    world.run(1_000)
    assert world.addressed("10.0.0.0:80", "a") == ["10.0.0.0:80"]


def test_large_hosts_lead():
    """One of five times the capacity keeps its zone's evidence together."""
    world = Fleet({"a": 4, "b": 2})
    large = "10.0.0.3:80"
    roster = world.rosters[large]
    roster.own_member = msgspec.structs.replace(
        roster.own_member, capacity_per_s=500
    )
    world.run(3_000)
    for host in world.rosters:
        assert world.addressed(host, "a") == [large]


def test_host_restarted_with_its_clock_set_back_is_heard_of():
    world = Fleet({"a": 3, "b": 2})
    world.run(3_000)
    restarted = "10.0.0.1:80"
    world.dead.add(restarted)
    world.run(3_000)
    world.start("a", restarted)
    roster = world.rosters[restarted]
    roster.own_member = msgspec.structs.replace(
        roster.own_member, incarnation=model.Incarnation(-5_000)
    )
    world.run(3_000)
    alive = world.rosters["10.0.0.0:80"].live_members(
        model.ZoneId("a"), world.now_ms
    )
    assert restarted in [one.host for one in alive]


def _told_entries(count):
    """Return the entries that a leader of a zone sends in a beat round."""
    world = Fleet({"a": count, "b": 3})
    world.run(4_000)
    leader = world.rosters["10.0.0.0:80"]
    return sum(
        len(leader.reports_for(one, world.now_ms))
        for one in leader.gossip_peers(world.now_ms)
    )


def test_what_a_leader_tells_grows_no_faster_than_its_zone():
    """Telling everything to everyone cost 880 kB/s in a zone of 75."""
    assert _told_entries(80) <= 2.2 * _told_entries(40)


def test_large_zone_survives_the_loss_of_half_of_its_hosts():
    world = Fleet({"a": 40, "b": 3}, seeds=["10.0.0.3:80", "10.1.0.1:80"])
    world.run(4_000)
    world.dead = {
        host
        for host in world.rosters
        if host.startswith("10.0.") and int(host.split(".")[3][:-3]) % 2 == 0
    }
    world.run(6_000)
    living = world.rosters.keys() - world.dead
    answers = {tuple(world.addressed(host, "a")) for host in living}
    assert len(answers) == 1
    assert not set(answers.pop()) & world.dead
