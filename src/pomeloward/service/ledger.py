"""Slots of a service that hosts may hold, as the controller counts them."""

import collections.abc
import dataclasses

from pomeloward import model

Slots = collections.abc.Mapping[model.TargetId, int]


@dataclasses.dataclass(slots=True)
class _Entry:
    """Slots of one host; starts end at ``until_ms``, runs at ``end_ms``."""

    slots: dict[model.TargetId, int]
    until_ms: float
    end_ms: float
    is_lapsed: bool = False


class Ledger:
    """Upper bound of the slots in use at each target, over all hosts.

    A host's report replaces its entry, since it applies only the answer to
    its latest report. After a silent host's loan has lapsed it starts
    nothing, but requests may run until ``hold_ms`` later; only counts of
    targets that are not warm include those.
    """

    def __init__(self, loan_ms: float, hold_ms: float) -> None:
        self._loan_ms = loan_ms
        self._hold_ms = hold_ms * (1 + model.MAX_DRIFT_RATIO)
        self._entries: dict[model.HostId, _Entry] = {}
        self._live: dict[model.TargetId, int] = {}
        self._lapsed: dict[model.TargetId, int] = {}

    def held(self, host: model.HostId) -> Slots:
        """Return the slots that a host may hold."""
        entry = self._entries.get(host)
        return entry.slots if entry is not None else {}

    def hosts(self) -> collections.abc.Iterable[model.HostId]:
        """Iterate over the hosts with an entry."""
        return self._entries.keys()

    def live(self, target: model.TargetId) -> int:
        """Return the slots under loans that have not lapsed."""
        return self._live.get(target, 0)

    def count(self, target: model.TargetId) -> int:
        """Return the slots of a target that may be in use anywhere."""
        return self.live(target) + self._lapsed.get(target, 0)

    def set(self, host: model.HostId, slots: Slots, now_ms: float) -> None:
        """Record all slots a host may hold from now on."""
        self._drop(host)
        until_ms = model.outstanding_until_ms(now_ms, self._loan_ms)
        kept = {target: count for target, count in slots.items() if count}
        self.restore(host, kept, until_ms, until_ms + self._hold_ms)

    def restore(
        self,
        host: model.HostId,
        slots: Slots,
        until_ms: float,
        end_ms: float,
    ) -> None:
        """Record an entry with given ends."""
        self._entries[host] = _Entry(dict(slots), until_ms, end_ms)
        for target, count in slots.items():
            self._live[target] = self._live.get(target, 0) + count

    def expire(self, now_ms: float) -> None:
        """Move lapsed loans out of the live count, and drop ended ones."""
        for host, entry in list(self._entries.items()):
            if now_ms >= entry.end_ms:
                self._drop(host)
            elif now_ms >= entry.until_ms and not entry.is_lapsed:
                entry.is_lapsed = True
                for target, count in entry.slots.items():
                    self._live[target] -= count
                    lapsed = self._lapsed.get(target, 0)
                    self._lapsed[target] = lapsed + count

    def entries(
        self,
    ) -> list[tuple[model.HostId, Slots, float, float]]:
        """Return all entries for a hand-over."""
        return [
            (host, entry.slots, entry.until_ms, entry.end_ms)
            for host, entry in self._entries.items()
        ]

    def _drop(self, host: model.HostId) -> None:
        entry = self._entries.pop(host, None)
        if entry is None:
            return
        totals = self._lapsed if entry.is_lapsed else self._live
        for target, count in entry.slots.items():
            totals[target] -= count
