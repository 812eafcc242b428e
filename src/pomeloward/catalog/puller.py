"""What a host pulls from peers that have a newer version."""

import random

from pomeloward import model
from pomeloward import peer
from pomeloward.catalog import messages
from pomeloward.catalog import transfer

# Pushes reach most hosts within this time; pulling sooner repeats them.
PULL_DELAY_MS = 200.0
ASK_TIMEOUT_MS = 1_500.0


class Puller:
    """Keeps one question in flight while a peer is known to be newer."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._known: dict[model.HostId, model.Version] = {}
        self._behind_since_ms: float | None = None
        self._busy_until_ms = 0.0
        self.transfer: transfer.Transfer | None = None
        self.is_building = False

    def on_version(
        self,
        host: model.HostId,
        version: model.Version,
        own: model.Version,
        now_ms: float,
    ) -> None:
        """Note the version that a peer has."""
        if version <= own:
            self._known.pop(host, None)
            return
        self._known[host] = version
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms

    def behind_ms(self, own: model.Version, now_ms: float) -> float:
        """Return for how long a newer version has been known; 0 if none."""
        self._forget_reached(own)
        since_ms = self._behind_since_ms
        return 0.0 if since_ms is None else now_ms - since_ms

    def next_question(
        self, own: model.Version, now_ms: float, is_starting: bool
    ) -> tuple[model.HostId, peer.Message] | None:
        """Return whom to ask for what, and note that it is asked."""
        waited_ms = self.behind_ms(own, now_ms)
        is_busy = self.is_building or now_ms < self._busy_until_ms
        if not self._known or is_busy:
            return None
        if waited_ms < PULL_DELAY_MS and not is_starting:
            return None
        # Twice the timeout: normally the answer or failure comes first.
        self._busy_until_ms = now_ms + 2 * ASK_TIMEOUT_MS
        if self.transfer is not None:
            return self.transfer.host, self.transfer.question()
        host = self._rng.choice(sorted(self._known))
        if own == 0:
            self.transfer = transfer.Transfer(host)
            return host, self.transfer.question()
        return host, messages.ChangesAsk(after=own)

    def on_answered(self) -> None:
        """Note that the question in flight has its answer."""
        self._busy_until_ms = 0.0

    def on_useless(self, host: model.HostId) -> None:
        """Forget a peer that did not answer or did not help."""
        self._busy_until_ms = 0.0
        self._known.pop(host, None)
        if self.transfer is not None and self.transfer.host == host:
            self.transfer = None

    def _forget_reached(self, own: model.Version) -> None:
        self._known = {
            host: version
            for host, version in self._known.items()
            if version > own
        }
        if not self._known:
            self._behind_since_ms = None
            self.transfer = None
