"""Sends and receives heartbeats."""

import collections.abc
import random

import anyio

from pomeloward import model
from pomeloward import peer
from pomeloward.membership import messages
from pomeloward.membership import roll

# Hears of the configuration version of each beat, to fetch a newer one.
VersionListener = collections.abc.Callable[[model.HostId, model.Version], None]


class Heartbeats:
    """Runs the heartbeats of a ``Roll`` over peers."""

    def __init__(
        self,
        members: roll.Roll,
        peers: peer.Peers,
        rng: random.Random,
        on_version: VersionListener | None = None,
    ) -> None:
        self._roll = members
        self._peers = peers
        self._rng = rng
        self._on_version = on_version
        peers.register_handler(messages.Beat, self._handle)

    async def run(self) -> None:
        """Send beats until cancelled."""
        # Hosts that start together do not beat together.
        await anyio.sleep(self._rng.random() * self._roll.period_ms / 1000)
        while True:
            self.send()
            await anyio.sleep(self._roll.period_ms / 1000)

    def send(self) -> None:
        """Send one round of beats now, for example on a change of state."""
        for host, beat in self._roll.beats(anyio.current_time() * 1000):
            self._peers.notify(host, beat)

    def _handle(
        self, host: model.HostId, beat: peer.Message, now_ms: float
    ) -> None:
        if not isinstance(beat, messages.Beat):
            return
        self._roll.received(host, beat, now_ms)
        if self._on_version is not None:
            self._on_version(host, beat.version)
