"""Tests of voters, candidates and portions of partitions."""

import collections

import pytest

from pomeloward import model
from pomeloward import ownership
from pomeloward.ownership import territory
from tests import views

_REGION = model.RegionId("south")


@pytest.mark.parametrize("zones", [3, 4])
def test_loss_of_a_zone_leaves_a_majority_of_every_partition(zones):
    """Guards against partitions that stop with one zone."""
    view = views.FleetView(48, zones)
    land = territory.Territory(view, _REGION)
    for number in range(64):
        voters = land.voters(number)
        assert len(set(voters)) == 7
        in_zone = collections.Counter(view.host(v).zone for v in voters)
        assert max(in_zone.values()) <= 3


@pytest.mark.parametrize("zones", [3, 4])
def test_portions_of_a_team_are_owned_in_different_zones(zones):
    """Guards against a team that loses all portions with one zone."""
    view = views.FleetView(48, zones)
    land = territory.Territory(view, _REGION)
    region = view.region(_REGION)
    for i in range(200):
        found = set()
        for portion in range(3):
            partition = ownership.portion_partition(
                region, model.TeamId(f"team-{i}"), portion
            )
            number = ownership.split_partition(partition)[1]
            assert number % 3 == portion
            found.add(view.host(land.candidates(number)[0]).zone)
        assert len(found) == 3


def test_first_candidates_are_spread_evenly():
    """Guards against hosts that own many times as much as others.

    One more than the mean rounded up is the most.
    """
    for hosts, zones, partitions in ((48, 3, 64), (40, 4, 64), (213, 4, 640)):
        view = views.FleetView(hosts, zones, partitions=partitions)
        firsts = territory.Territory(view, _REGION).firsts()
        counts = collections.Counter(firsts)
        assert max(counts.values()) <= -(-partitions // hosts) + 1


def test_hosts_of_a_zone_taken_out_come_last_and_still_vote():
    """Guards against owners in a zone that is about to be switched off."""
    view = views.FleetView(12, 3)
    before = territory.Territory(view, _REGION)
    view.zones_out = {"south-0"}
    after = territory.Territory(view, _REGION, before)
    for number in range(64):
        assert after.voters(number) == before.voters(number)
        is_out = [after.is_out(host) for host in after.candidates(number)]
        assert is_out == sorted(is_out)
        assert not is_out[0]


def test_voters_do_not_depend_on_records_of_hosts():
    """Guards against two versions that count different majorities."""
    view = views.FleetView(12, 3)
    before = territory.Territory(view, _REGION)
    moved = views.FleetView(12, 4)
    moved.rosters_by_region = view.rosters_by_region
    after = territory.Territory(moved, _REGION)
    for number in range(64):
        assert after.electorate(number) == before.electorate(number)


def test_loss_of_a_roster_member_moves_few_voters():
    """Guards against a new placement of everything with each roster."""
    view = views.FleetView(48, 3)
    records = list(view.hosts())
    old = territory.Territory(view, _REGION)
    view.rosters_by_region["south"] = [views.make_roster(2, records[1:])]
    new = territory.Territory(view, _REGION, old)
    kept = sum(len(set(old.voters(n)) & set(new.voters(n))) for n in range(64))
    assert kept >= 64 * 7 * 0.9
