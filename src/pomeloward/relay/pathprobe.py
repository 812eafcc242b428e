"""Tries whether this host can connect to any target."""

import collections.abc
import random

import anyio

from pomeloward import replica
from pomeloward.relay import targetprobe

# Targets that are tried until one accepts a connection. Even if half of all
# targets are down, this rarely finds none of them.
_MAX_TRIED_TARGETS = 6
# Time until the next one is tried beside those before. Usually the first one
# accepts sooner, since connections are dear to targets.
_STAGGER_S = 0.015
# A round trip takes a few ms.
_TIMEOUT_S = 0.125


class PathProbe:
    """Opens connections to a few targets until one accepts.

    ``find_targets`` returns the targets that may get requests.
    """

    def __init__(
        self,
        target_probe: targetprobe.TargetProbe,
        find_targets: collections.abc.Callable[
            [], collections.abc.Iterable[replica.Target]
        ],
        rng: random.Random,
    ) -> None:
        self._target_probe = target_probe
        self._find_targets = find_targets
        self._rng = rng

    def has_targets(self) -> bool:
        """Return whether there is any target to try."""
        return any(not target.is_leaving for target in self._find_targets())

    async def connects_to_any(self) -> bool:
        """Return whether a target accepted a connection."""
        targets = [
            target for target in self._find_targets() if not target.is_leaving
        ]
        has_connected = False

        async def try_target(target: replica.Target, delay_s: float) -> None:
            nonlocal has_connected
            await anyio.sleep(delay_s)
            if await self._target_probe.accepts_connections(target):
                has_connected = True
                tasks.cancel_scope.cancel()

        chosen = self._rng.sample(
            targets, min(len(targets), _MAX_TRIED_TARGETS)
        )
        with anyio.move_on_after(_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for number, target in enumerate(chosen):
                    tasks.start_soon(try_target, target, number * _STAGGER_S)
        return has_connected
