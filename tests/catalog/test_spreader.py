"""State machine of the configuration's way through a faulty fleet."""

import random

from hypothesis import stateful
from hypothesis import strategies

from pomeloward import catalog
from tests import seeds
from tests.catalog import samples
from tests.catalog import world

_ZONES = {
    **{f"n{number}": ("z1", "north") for number in range(5)},
    **{f"s{number}": ("z2", "south") for number in range(2)},
}


def _first():
    contents = [
        catalog.Region("north", 8, 0.5),
        catalog.Region("south", 8, 0.5),
        catalog.Zone("z1", "north"),
        catalog.Zone("z2", "south"),
        catalog.Team("crew", 1.0, 1.0),
    ]
    contents += [
        catalog.Host(host, zone, region, "127.0.0.1", 1, 2)
        for host, (zone, region) in _ZONES.items()
    ]
    return catalog.Configuration.of_records(1, contents)


_STEPS = strategies.sampled_from([50, 100, 300, 1_000, 6_000])
_HOST = strategies.sampled_from(sorted(_ZONES))


class Spreading(stateful.RuleBasedStateMachine):
    """Guards promises P4 and P13 and the readiness rule.

    It goes red when a host takes an older configuration, revives a withdrawn
    key, or becomes ready with less than what a majority of its contacts held
    when it started.
    """

    def __init__(self):
        super().__init__()
        self.world = world.World(_ZONES, _first())
        self.granted = []
        self.count = 0
        self.versions = {}
        self.withdrawn = {}
        self.held = dict.fromkeys(_ZONES, {})
        self.unready = set(_ZONES)

    @stateful.rule()
    def grant(self):
        self.count += 1
        digest = samples.digest(str(self.count))
        self.world.publish([catalog.Key(digest, "crew")])
        self.granted.append(digest)

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule()
    def withdraw(self):
        digest = self.granted.pop(0)
        self.world.publish((), [(catalog.Kind.KEY, digest.hex())])
        self.withdrawn[digest] = self.world.published[-1].version

    @stateful.rule(host=_HOST, lag=strategies.sampled_from([0, 0, 1, 3, 9]))
    def read(self, host, lag):
        self.world.read(host, lag)

    @stateful.rule(data=strategies.data())
    def deliver_one(self, data):
        count = len(self.world.letters)
        if count:
            index = data.draw(strategies.integers(0, count - 1))
            self.world.deliver(index, is_kept=data.draw(_RARELY))

    @stateful.rule(count=strategies.integers(1, 60))
    def deliver_many(self, count):
        for _ in range(min(count, len(self.world.letters))):
            index = self.world.rng.randrange(len(self.world.letters))
            self.world.deliver(index)

    @stateful.rule(count=strategies.integers(1, 20))
    def lose(self, count):
        for _ in range(min(count, len(self.world.letters))):
            self.world.lose(self.world.rng.randrange(len(self.world.letters)))

    @stateful.rule(step_ms=_STEPS)
    def advance(self, step_ms):
        self.world.advance(step_ms)

    @stateful.rule()
    def heartbeats(self):
        self.world.heartbeats()

    @stateful.rule(source=_HOST, host=_HOST)
    def cut(self, source, host):
        self.world.cuts.add((source, host))

    @stateful.rule(host=_HOST)
    def isolate(self, host):
        for other in _ZONES:
            self.world.cuts |= {(host, other), (other, host)}

    @stateful.rule()
    def heal(self):
        self.world.cuts.clear()

    @stateful.rule(host=_HOST)
    def restart(self, host):
        self.world.start(host)
        self.versions[host] = 0
        self.unready.add(host)
        # What each contact held at this start, as long as it stays up.
        self.held[host] = {
            other: (self.world.incarnations[other], node.view.version)
            for other, node in self.world.nodes.items()
        }

    @stateful.rule(host=_HOST, lag=strategies.integers(1, 3))
    def restart_on_stale_platform(self, host, lag):
        """Restart, and take the versions' answers but no change yet."""
        self.restart(host)
        self.world.read(host, lag)
        self.world.letters.clear()
        self.world.advance(100)
        for _ in range(2 * len(self.world.letters)):
            if self.world.letters:
                self.world.deliver(0)

    @stateful.rule(host=_HOST, lag=strategies.integers(0, 3))
    def finish_slow_build(self, host, lag):
        """Deliver a snapshot whose building was overtaken by changes."""
        lag = min(lag, len(self.world.published) - 1)
        old = self.world.published[-1 - lag]
        node = self.world.nodes[host]
        self.world.perform(host, node.on_built(old, self.world.now_ms))

    @stateful.rule()
    def change_everywhere(self):
        self.grant()
        for reader in ("n1", "s1"):
            self.world.read_all(reader)
        self.world.settle(1_500)

    @stateful.invariant()
    def versions_only_grow(self):
        for host, node in self.world.nodes.items():
            assert node.view.version >= self.versions.get(host, 0)
            self.versions[host] = node.view.version

    @stateful.invariant()
    def contents_are_those_of_the_version(self):
        """Check that a key is absent at and after its withdrawal."""
        for node in self.world.nodes.values():
            for digest, version in self.withdrawn.items():
                if node.view.version >= version:
                    assert node.view.team_of_key(digest) is None

    @stateful.invariant()
    def ready_hosts_have_compared(self):
        for host in sorted(self.unready):
            node = self.world.nodes[host]
            if not node.is_ready:
                continue
            self.unready.discard(host)
            contacts = catalog.contacts_of(node.view, host)
            kept = [
                version
                for other, (incarnation, version) in self.held[host].items()
                if other in contacts
                and self.world.incarnations[other] == incarnation
            ]
            newer = [each for each in kept if each > node.view.version]
            assert len(newer) * 2 <= len(contacts)

    def teardown(self):
        """Everything spreads and every host is ready once links heal."""
        for reader in ("n1", "s1"):
            self.world.read_all(reader)
        self.world.settle(10_000)
        newest = self.world.published[-1]
        for host, node in self.world.nodes.items():
            assert node.view.version == newest.version, host
            assert node.is_ready, host
            contents = set(map(repr, node.view.contents()))
            assert contents == set(map(repr, newest.contents()))


_RARELY = strategies.integers(0, 9).map(lambda number: number == 0)


def test_configuration_spreads_safely():
    seeds.run_machine(Spreading, max_examples=50, step_count=40)


def test_stale_configuration_of_a_replaced_fleet_is_outgrown():
    """Guards against a start that knows only hosts that are long gone."""
    old_zones = {name: ("z1", "north") for name in ("n0", "g1", "g2")}
    contents = [
        catalog.Region("north", 8),
        catalog.Zone("z1", "north"),
        *(
            catalog.Host(host, zone, region, "127.0.0.1", 1, 2)
            for host, (zone, region) in old_zones.items()
        ),
    ]
    old = catalog.Configuration.of_records(1, contents)
    hosts = ["n0", "n1", "n2"]
    fleet = world.World(dict.fromkeys(hosts), old)
    for number in (1, 2):
        host = catalog.Host(f"n{number}", "z1", "north", "127.0.0.1", 1, 2)
        gone = (catalog.Kind.HOST, f"g{number}")
        fleet.publish([host], [gone])
    for host in ("n1", "n2"):
        fleet.perform(host, fleet.nodes[host].on_built(fleet.published[-1], 0))
    fleet.read("n0", lag=9)
    assert fleet.nodes["n0"].view.version == 1
    fleet.settle(8_000, has_heartbeats=False)
    assert fleet.nodes["n0"].view.version == 3
    assert fleet.nodes["n0"].is_ready


def test_host_without_peers_is_not_ready_before_it_is_listed():
    """Guards against serving a configuration of another fleet."""
    node = catalog.Spreader("n9", [], random.Random(1))
    node.on_built(_first(), 0.0)
    node.on_tick(0.0)
    assert not node.is_ready
