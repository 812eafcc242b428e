"""Tests of the addresses that callers are told to use."""

import collections
import random

import pytest

from pomeloward import address
from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward.ownership import territory
from tests import views

_REGION = model.RegionId("south")


class Fleet:
    """Membership and ownership as a test sets them."""

    def __init__(self, view: views.FleetView) -> None:
        self.view = view
        self.ready = [host.id for host in view.hosts()]
        self.is_standing = True
        self.owners: dict[model.PartitionId, model.HostId] = {}
        land = territory.Territory(view, _REGION)
        for number, host in enumerate(land.firsts()):
            partition = ownership.make_partition(_REGION, number)
            self.owners[partition] = host

    def has_standing(self, now_ms):
        return self.is_standing

    def ready_hosts(self, now_ms):
        return self.ready

    def state_of(self, host, now_ms):
        return model.HostState.READY if host in self.ready else None

    def owner_of(self, partition, now_ms):
        return self.owners.get(partition)

    def book(self, seed=1) -> address.AddressBook:
        own = model.HostId("south-000")
        rng = random.Random(seed)
        made = address.AddressBook(own, _REGION, self, self, rng)
        made.configure(self.view)
        return made

    def add_team(self, name, rate_per_s) -> model.TeamId:
        team = model.TeamId(name)
        self.view.teams[team] = catalog.Team(team, rate_per_s, rate_per_s)
        return team


@pytest.fixture
def fleet() -> Fleet:
    return Fleet(views.FleetView(48))


def _hosts(answer: address.AddressAnswer) -> list[model.HostId]:
    return [found.host for found in answer.addresses]


@pytest.mark.parametrize(
    ("rate_per_s", "count"), [(1, 5), (39, 6), (100, 10), (9_000, 16)]
)
def test_owners_come_first_and_number_follows_rate(fleet, rate_per_s, count):
    """Guards against a message for each token, and too few addresses."""
    team = fleet.add_team("crew", rate_per_s)
    region = fleet.view.region(_REGION)
    owners = {
        fleet.owners[ownership.portion_partition(region, team, portion)]
        for portion in range(3)
    }
    named = _hosts(fleet.book().answer(team, 0.0))
    assert len(named) == len(set(named)) == count
    assert set(named[: len(owners)]) == owners


def test_all_hosts_name_the_same_hosts_for_a_team(fleet):
    """Guards against a team that is spread over all hosts by its callers."""
    team = fleet.add_team("crew", 100)
    named = [fleet.book(seed).answer(team, 0.0) for seed in range(5)]
    assert len({frozenset(_hosts(each)) for each in named}) == 1
    assert len({tuple(_hosts(each)) for each in named}) > 1


def test_unusable_hosts_are_never_named(fleet):
    """Guards against callers sent to leaving, silent or taken-out hosts."""
    fleet.view.zones_out = {"south-1"}
    gone = set(fleet.ready[:10])
    fleet.ready = fleet.ready[10:]
    book = fleet.book()
    teams = [fleet.add_team(f"team-{i}", 500) for i in range(50)]
    for team in [None, *teams]:
        for found in book.answer(team, 0.0).addresses:
            assert found.host not in gone
            assert found.zone != "south-1"


def test_a_host_that_leaves_is_named_no_more_after_200_ms(fleet):
    """Guards against a cached list that outlives a host."""
    book = fleet.book()
    team = fleet.add_team("crew", 9_000)
    left = _hosts(book.answer(team, 0.0))[0]
    fleet.ready = [host for host in fleet.ready if host != left]
    assert left not in _hosts(book.answer(team, 200.0))


def test_isolated_host_names_others_and_those_it_hears_first(fleet):
    """Guards against callers kept at a host that cannot serve them."""
    fleet.is_standing = False
    fleet.ready = fleet.ready[:3]
    named = _hosts(fleet.book().answer(fleet.add_team("crew", 100), 0.0))
    assert len(named) == 4
    assert set(named[:2]) == set(fleet.ready[1:3])


def _loads(fleet: Fleet, teams: dict[model.TeamId, float]) -> list[float]:
    """Return each host's load if callers use all addresses evenly."""
    loads = collections.Counter(dict.fromkeys(fleet.ready, 0.0))
    book = fleet.book()
    for team, rate_per_s in teams.items():
        named = _hosts(book.answer(team, 0.0))
        for host in named:
            loads[host] += rate_per_s / len(named)
    return list(loads.values())


@pytest.mark.parametrize(
    ("hosts", "partitions", "teams"), [(213, 640, 20_000), (48, 64, 10_000)]
)
def test_many_teams_load_all_hosts_evenly(hosts, partitions, teams):
    """Guards against hosts that are named much more often than others.

    The bound is a fifth over the mean: hosts are sized for the loss of one
    availability zone of several, which leaves that much room.
    """
    fleet = Fleet(views.FleetView(hosts, 4, partitions=partitions))
    rates = {fleet.add_team(f"team-{i}", 1.0): 1.0 for i in range(teams)}
    loads = _loads(fleet, rates)
    mean = sum(loads) / len(loads)
    assert max(loads) <= 1.2 * mean


def test_open_routes_load_all_hosts_evenly(fleet):
    """Guards against open routes that load a few hosts."""
    book = fleet.book()
    named: collections.Counter[str] = collections.Counter()
    for _ in range(6_000):
        named.update(_hosts(book.answer(None, 0.0)))
    mean = sum(named.values()) / 48
    assert max(named.values()) <= 1.2 * mean
    assert min(named.values()) >= 0.8 * mean
