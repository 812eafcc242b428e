"""The rates of all teams on one host."""

import collections.abc

from pomeloward import model
from pomeloward import policy as policies
from pomeloward.quota import bucket as buckets
from pomeloward.quota import messages

# Requests admitted above the exact rate, as part of it. The operators count
# what arrives at targets with a quarter of slack; without some of it, two
# clocks that differ a little would refuse callers within their rate.
MARGIN_RATIO = 0.02
# Time between two reports of spending. What the fleet can admit too much
# in this time is a small part of the operators' slack over five seconds.
REPORT_MS = 150.0


class Quotas:
    """Admits requests within the teams' rates over the fleet.

    While other hosts are not heard of, this host assumes that they spend
    their part of each rate.
    """

    def __init__(self, is_first_start: bool) -> None:
        self._is_first_start = is_first_start
        self._teams: dict[model.TeamId, policies.Team] = {}
        self._buckets: dict[model.TeamId, buckets.SharedBucket] = {}
        self._spent: dict[model.TeamId, int] = {}
        self._ticked_ms: float | None = None

    def configure(
        self, teams: collections.abc.Iterable[policies.Team], now_ms: float
    ) -> None:
        """Take the teams of a configuration."""
        is_first = not self._teams
        self._teams = {team.id: team for team in teams if team.rate_per_s > 0}
        for gone in self._buckets.keys() - self._teams.keys():
            del self._buckets[gone]
        for team in self._teams.values():
            rate_per_s = team.rate_per_s * (1 + MARGIN_RATIO)
            burst = max(1.0, team.burst_requests * (1 + MARGIN_RATIO))
            known = self._buckets.get(team.id)
            if known is not None:
                known.configure(rate_per_s, burst, now_ms)
                continue
            tokens = burst
            if is_first and not self._is_first_start:
                part = rate_per_s * buckets.RESTART_MS / 1_000
                tokens = min(burst, part)
            self._buckets[team.id] = buckets.SharedBucket(
                rate_per_s, burst, tokens, now_ms
            )

    def take(self, team: model.TeamId, now_ms: float) -> bool:
        """Admit a request of a team, unless its rate is exceeded."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return True
        if not bucket.take(now_ms):
            return False
        self._spent[team] = self._spent.get(team, 0) + 1
        return True

    def give_back(self, team: model.TeamId, now_ms: float) -> None:
        """Return the token of a request that has not run."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return
        bucket.spent_elsewhere(-1, now_ms)
        self._spent[team] = self._spent.get(team, 0) - 1

    def wait_ms(self, team: model.TeamId, now_ms: float) -> float:
        """Return when a refused team may come again."""
        bucket = self._buckets.get(team)
        return bucket.wait_ms(now_ms) if bucket is not None else 0.0

    def report(self) -> messages.Spending:
        """Return what was admitted since the last report."""
        spent, self._spent = self._spent, {}
        return messages.Spending(
            teams=tuple(
                messages.TeamSpending(team, requests)
                for team, requests in spent.items()
                if requests
            )
        )

    def received(self, spending: messages.Spending, now_ms: float) -> None:
        """Take another host's spending."""
        for spent in spending.teams:
            bucket = self._buckets.get(spent.team)
            if bucket is not None:
                bucket.spent_elsewhere(spent.requests, now_ms)

    def tick(self, share_ratio: float, now_ms: float) -> None:
        """Charge what hosts that are not heard of may spend.

        ``share_ratio`` is the part of the rates left to the hosts that this
        one hears of; while it is below 1, so is the burst.
        """
        previous_ms, self._ticked_ms = self._ticked_ms, now_ms
        if previous_ms is None or share_ratio >= 1.0:
            return
        passed_s = (now_ms - previous_ms) / 1_000
        for team, bucket in self._buckets.items():
            known = self._teams[team]
            rate_per_s = known.rate_per_s * (1 + MARGIN_RATIO)
            lost_per_s = rate_per_s * (1 - share_ratio)
            bucket.spent_elsewhere(lost_per_s * passed_s, now_ms)
            bucket.limit(max(1.0, known.burst_requests * share_ratio), now_ms)
