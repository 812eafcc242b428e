"""Which owned partitions go to which other host, and when."""

import collections.abc

from pomeloward import model
from pomeloward.ownership import territory

# A host that has just become ready may fall again; moving its partitions
# back at once would move them twice.
READY_MS = 30_000.0

StateOf = collections.abc.Callable[[model.HostId], model.HostState | None]


class HandBack:
    """Chooses planned hand-overs.

    A partition goes back to its first candidate once that has been ready
    for 30 s. An owner that is leaving, or in a zone taken out, gives it to
    the first candidate that is ready.
    """

    def __init__(self, own: model.HostId) -> None:
        self._own = own
        self._ready_since_ms: dict[model.HostId, float] = {}

    def successor(
        self,
        number: int,
        land: territory.Territory,
        is_leaving: bool,
        state_of: StateOf,
        now_ms: float,
    ) -> model.HostId | None:
        """Return the host that should own a partition instead of this."""
        candidates = land.candidates(number)
        if is_leaving:
            return self._first_ready(candidates, land, state_of)
        if not candidates or candidates[0] == self._own:
            return None
        if self._own in candidates:
            candidates = candidates[:1]
        for host in candidates:
            if self._is_settled(host, state_of, now_ms):
                return host
        return None

    def _first_ready(
        self,
        candidates: tuple[model.HostId, ...],
        land: territory.Territory,
        state_of: StateOf,
    ) -> model.HostId | None:
        for host in candidates:
            if host == self._own or land.is_out(host):
                continue
            if state_of(host) is model.HostState.READY:
                return host
        return None

    def _is_settled(
        self, host: model.HostId, state_of: StateOf, now_ms: float
    ) -> bool:
        if state_of(host) is not model.HostState.READY:
            self._ready_since_ms.pop(host, None)
            return False
        since_ms = self._ready_since_ms.setdefault(host, now_ms)
        return now_ms >= since_ms + READY_MS
