"""States of hosts that are known from the beats of others."""

import dataclasses

from pomeloward import model
from pomeloward.membership import digest

# How long a reported state stays in use. News of a silent host end it
# sooner.
HEARSAY_MS = 8_000.0
# How long a report of draining stands against other reports: several
# contacts report one host, and hear of its draining at different times.
_DRAINING_MS = 3_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    state: model.HostState
    heard_ms: float


class Hearsay:
    """Reported states, each in use for a bounded time."""

    def __init__(self) -> None:
        self._reports: dict[model.HostId, _Report] = {}

    def take(
        self, packed: bytes, hosts: tuple[model.HostId, ...], now_ms: float
    ) -> None:
        """Take the digest of a contact with the same list of hosts."""
        for index, code in digest.unpack(packed):
            if index >= len(hosts):
                continue
            host = hosts[index]
            state = digest.state_of(code)
            if state is None:
                self._reports.pop(host, None)
            elif not self._is_outdated(host, state, now_ms):
                self._reports[host] = _Report(state, now_ms)

    def _is_outdated(
        self, host: model.HostId, state: model.HostState, now_ms: float
    ) -> bool:
        known = self._reports.get(host)
        return (
            known is not None
            and known.state is model.HostState.DRAINING
            and state is not model.HostState.DRAINING
            and now_ms < known.heard_ms + _DRAINING_MS
        )

    def state_of(
        self, host: model.HostId, now_ms: float
    ) -> model.HostState | None:
        """Return the reported state, or None when there is none in use."""
        known = self._reports.get(host)
        if known is None or now_ms >= known.heard_ms + HEARSAY_MS:
            return None
        return known.state

    def keep_only(self, hosts: frozenset[model.HostId]) -> None:
        """Forget hosts that left the configuration."""
        for removed in self._reports.keys() - hosts:
            del self._reports[removed]
