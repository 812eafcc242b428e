"""The rows: every fault of design section 1.6."""

import collections.abc
import dataclasses

import anyio

from bench.matrix import host as hosts
from bench.matrix import plan
from bench.matrix import world as worlds

_LOSS_RATIO = 0.2
_LONG_DELAY_MS = (0.5, 400.0)
_LATE_S = 6.0
_PAUSE_S = 5.0
_FLAP_S = 1.5
_RESTART_S = 0.1
# With the floor of 0.75 two of eight targets may be ejected.
_GRAY = plan.TARGETS[:3]


@dataclasses.dataclass(frozen=True)
class Fault:
    """A row; ``begin`` starts the fault and ``end`` ends it.

    ``victim`` is the host at the step where the fault begins.
    """

    name: str
    begin: collections.abc.Callable[[worlds.World, hosts.Host], None]
    end: collections.abc.Callable[[worlds.World, hosts.Host], None]


def _nothing(world: worlds.World, victim: hosts.Host) -> None:
    """End a fault that lasts, or that ends by itself."""


def _slow(world: worlds.World, victim: hosts.Host) -> None:
    for name in _GRAY:
        world.targets[name].slow_factor = 10.0


def _errors(world: worlds.World, victim: hosts.Host) -> None:
    for name in _GRAY:
        world.targets[name].error_ratio = 0.6


def _unreachable(world: worlds.World, victim: hosts.Host) -> None:
    world.targets[plan.TARGETS[0]].unreachable_from |= {
        victim.name,
        plan.HOSTS[0],
    }


def _flapping(world: worlds.World, victim: hosts.Host) -> None:
    for name in _GRAY:
        world.targets[name].flap_s = _FLAP_S
        world.targets[name].slow_factor = 10.0
        world.targets[name].error_ratio = 0.5


def _cold(world: worlds.World, victim: hosts.Host) -> None:
    for name in plan.TARGETS[:2]:
        world.targets[name].fall_cold()


def _half(world: worlds.World, victim: hosts.Host) -> None:
    for name in _GRAY:
        world.targets[name].half_ratio = 0.5


def _late(world: worlds.World, victim: hosts.Host) -> None:
    for name in _GRAY:
        world.targets[name].late_s = _LATE_S


def _heal_targets(world: worlds.World, victim: hosts.Host) -> None:
    for target in world.targets.values():
        target.heal()


def _withdraw(world: worlds.World, victim: hosts.Host) -> None:
    world.withdraw_key()


def _away(world: worlds.World, victim: hosts.Host) -> None:
    world.source.is_away = True
    world.source.wake()


def _stale(world: worlds.World, victim: hosts.Host) -> None:
    world.source.is_stale = True


def _back(world: worlds.World, victim: hosts.Host) -> None:
    world.source.is_away = False
    world.source.is_stale = False
    world.source.wake()


def _pause(world: worlds.World, victim: hosts.Host) -> None:
    victim.gate.pause()
    world.tasks.start_soon(_resume_later, victim)


async def _resume_later(victim: hosts.Host) -> None:
    await anyio.sleep(_PAUSE_S)
    if victim.is_up:
        victim.gate.resume()


def _amnesia(world: worlds.World, victim: hosts.Host) -> None:
    victim.crash()
    world.tasks.start_soon(_restart_later, world, victim)


async def _restart_later(world: worlds.World, victim: hosts.Host) -> None:
    await anyio.sleep(_RESTART_S)
    world.start_host(victim.name)


def _lose(world: worlds.World, victim: hosts.Host) -> None:
    victim.crash()


def _cut_one_way(world: worlds.World, victim: hosts.Host) -> None:
    for other in plan.HOSTS:
        if other != victim.name:
            world.network.cut(victim.name, other)


def _partition(world: worlds.World, victim: hosts.Host) -> None:
    zone = plan.zone_of(plan.HOSTS.index(victim.name))
    for number, one in enumerate(plan.HOSTS):
        for other_number, other in enumerate(plan.HOSTS):
            zones = {plan.zone_of(number), plan.zone_of(other_number)}
            if zone in zones and len(zones) > 1:
                world.network.cut(one, other)


def _heal_network(world: worlds.World, victim: hosts.Host) -> None:
    world.network.heal()
    world.network.loss_ratio = 0.0
    world.network.delay_ms = worlds.DELAY_MS


def _lose_messages(world: worlds.World, victim: hosts.Host) -> None:
    world.network.loss_ratio = _LOSS_RATIO


def _delay_messages(world: worlds.World, victim: hosts.Host) -> None:
    world.network.delay_ms = _LONG_DELAY_MS


def _second_roster(world: worlds.World, victim: hosts.Host) -> None:
    world.publish((plan.roster(2, plan.HOSTS[1:]),), (), {})


FAULTS = (
    # The control: nothing may be wrong without a fault either.
    Fault("none", _nothing, _nothing),
    Fault("target-slow", _slow, _heal_targets),
    Fault("target-errors", _errors, _heal_targets),
    Fault("target-unreachable", _unreachable, _heal_targets),
    Fault("target-flapping", _flapping, _heal_targets),
    Fault("target-cold", _cold, _nothing),
    Fault("half-answers", _half, _heal_targets),
    Fault("late-answers", _late, _heal_targets),
    Fault("keys-withdrawn", _withdraw, _nothing),
    Fault("platform-away", _away, _back),
    Fault("platform-stale", _stale, _back),
    Fault("host-paused", _pause, _nothing),
    Fault("host-amnesia", _amnesia, _nothing),
    Fault("host-lost", _lose, _nothing),
    Fault("one-way-cut", _cut_one_way, _heal_network),
    Fault("zone-partition", _partition, _heal_network),
    Fault("messages-lost", _lose_messages, _heal_network),
    Fault("messages-delayed", _delay_messages, _heal_network),
    Fault("two-rosters", _second_roster, _nothing),
)
BY_NAME = {fault.name: fault for fault in FAULTS}
