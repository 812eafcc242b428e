"""Demand of the hosts of a service, and each one's fair number of slots."""

import collections.abc

from pomeloward import model
from pomeloward.service import fairshare
from pomeloward.service import hostrecord
from pomeloward.service import messages

# A division between 64 hosts and 8 teams costs about 0.3 ms; twenty a second
# cost under 1% of a core.
_ROUND_MS = 50.0
# Hosts that were nudged report within a few round trips.
_NUDGE_GAP_MS = 20.0
# A host without reports for this long has no demand.
_SILENT_MS = 2_900.0
_MAX_RESERVE = 2

# Demand of deferrable requests of all teams is counted under this name, and
# gets at least this part of the slots.
DEFERRABLE = model.TeamId("")
DEFERRABLE_SHARE = 0.05

Weights = collections.abc.Callable[[model.TeamId], float]


class DemandBook:
    """The latest demand of each host, divided max-min fairly."""

    def __init__(self) -> None:
        self._hosts: dict[model.HostId, hostrecord.HostRecord] = {}
        self._credit: dict[model.HostId, float] = {}
        self._divided_ms = float("-inf")
        self._is_contended = False

    def accepts(self, host: model.HostId, report: messages.Report) -> bool:
        """Tell whether a report is newer than all before, and note it."""
        record = self._hosts.setdefault(host, hostrecord.HostRecord())
        order = (report.incarnation, report.sequence)
        if order <= record.order:
            return False
        record.order = order
        return True

    def join(self, host: model.HostId) -> bool:
        """Note a report, and tell whether it is the host's first."""
        record = self._hosts[host]
        is_first = not record.has_joined
        record.has_joined = True
        return is_first

    def avoided(self, host: model.HostId) -> frozenset[model.TargetId]:
        """Return the targets that a host avoids by its own judgement."""
        return self._hosts[host].avoided

    def granted(self, host: model.HostId, count: int) -> None:
        """Note how many slots a host may use."""
        self._hosts[host].granted = count

    def update(
        self,
        host: model.HostId,
        report: messages.Report,
        ids: collections.abc.Sequence[model.TargetId],
        now_ms: float,
    ) -> None:
        """Take the demand of a report."""
        record = self._hosts[host]
        record.demand = dict(report.demand)
        record.want = sum(record.demand.values())
        record.avoided = frozenset(ids[index] for index in report.avoided)
        record.seen_ms = now_ms

    def goal(
        self,
        host: model.HostId,
        capacity: int,
        weight_of: Weights,
        now_ms: float,
    ) -> tuple[int, int]:
        """Return the slots a host should have, and idle ones among them.

        Without contention a host gets what it wants, and a small reserve
        where there is plenty, so that its next request need not ask.
        """
        live = self._live(now_ms)
        want = sum(record.want for record in live.values())
        record = self._hosts[host]
        self._is_contended = want > capacity
        if not self._is_contended:
            self._divided_ms = float("-inf")
            spare = (capacity - want) // (2 * self._reporting(now_ms))
            reserve = min(_MAX_RESERVE, spare)
            if any(
                self._unmet(other) > 0
                for name, other in live.items()
                if name != host
            ):
                reserve = 0
            return record.want + reserve, reserve
        if now_ms - self._divided_ms >= _ROUND_MS:
            self._divided_ms = now_ms
            self._divide(live, capacity, weight_of)
        return min(record.allotted, record.want), 0

    def nudges(
        self,
        free: collections.abc.Callable[[], int],
        stopped: collections.abc.Iterable[model.HostId],
        now_ms: float,
    ) -> list[model.HostId]:
        """Return hosts to nudge.

        These are the holders of slots that they must give back, and as many
        hosts with unmet demand as there are free slots, which are counted
        only then.
        """
        names = list(stopped)
        live = self._live(now_ms)
        if self._is_contended:
            names += [
                host
                for host, record in live.items()
                if record.granted > record.allotted
            ]
        short = [
            host for host, record in live.items() if self._unmet(record) > 0
        ]
        if short:
            short.sort(key=lambda host: -self._unmet(live[host]))
            count = free()
            names += short[:count]
            if count < len(short):
                names += self._with_reserve()
        chosen = []
        for host in names:
            record = self._hosts.get(host)
            if record is None or now_ms - record.nudged_ms < _NUDGE_GAP_MS:
                continue
            record.nudged_ms = now_ms
            chosen.append(host)
        return chosen

    def _with_reserve(self) -> list[model.HostId]:
        """Return the hosts that hold idle slots which others need."""
        return [
            host
            for host, record in self._hosts.items()
            if record.granted > record.want
        ]

    def _reporting(self, now_ms: float) -> int:
        return max(
            1,
            sum(
                now_ms - record.seen_ms < _SILENT_MS
                for record in self._hosts.values()
            ),
        )

    def _unmet(self, record: hostrecord.HostRecord) -> int:
        goal = record.want
        if self._is_contended:
            goal = min(goal, record.allotted)
        return goal - record.granted

    def _live(
        self, now_ms: float
    ) -> dict[model.HostId, hostrecord.HostRecord]:
        return {
            host: record
            for host, record in self._hosts.items()
            if record.want and now_ms - record.seen_ms < _SILENT_MS
        }

    def _divide(
        self,
        live: collections.abc.Mapping[model.HostId, hostrecord.HostRecord],
        capacity: int,
        weight_of: Weights,
    ) -> None:
        demand = {host: record.demand for host, record in live.items()}
        teams = {team for record in live.values() for team in record.demand}
        weights = {
            team: weight_of(team) for team in teams if team != DEFERRABLE
        }
        weights[DEFERRABLE] = (
            (sum(weights.values()) or 1.0)
            * DEFERRABLE_SHARE
            / (1 - DEFERRABLE_SHARE)
        )
        shares = fairshare.host_shares(capacity, demand, weights)
        self._credit = {host: self._credit.get(host, 0.0) for host in live}
        whole = fairshare.whole_shares(capacity, shares, self._credit)
        for host, record in live.items():
            record.allotted = whole[host]
