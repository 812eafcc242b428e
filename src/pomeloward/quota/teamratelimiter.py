"""Limits the request rates of all teams on one host."""

import collections.abc

from pomeloward import model
from pomeloward import policy as policies
from pomeloward.quota import messages
from pomeloward.quota import tokenbucket

# Added to each rate and burst, as a ratio of it. The operators allow 25 %
# above the rate when they count requests at the targets. Without a part of
# that, clocks that differ slightly between hosts would cause refusals of
# callers who keep to their rate.
LIMIT_MARGIN_RATIO = 0.02
# What the fleet can admit above a rate within one interval is a small part
# of what the operators tolerate over five seconds.
USAGE_REPORT_INTERVAL_MS = 150.0


class TeamRateLimiter:
    """Admits requests within the rates that teams have over the fleet.

    Each host deducts the requests that the other hosts report. For hosts
    whose reports don't arrive, it assumes that they use their part of each
    rate in full.
    """

    def __init__(self, is_first_start: bool) -> None:
        """Start without teams, so without limits.

        ``is_first_start`` tells that the fleet starts for the first time. No
        host has admitted requests before, so buckets start with a full burst.
        """
        self._is_first_start = is_first_start
        self._limited_teams: dict[model.TeamId, policies.Team] = {}
        self._buckets: dict[
            model.TeamId, tokenbucket.ReplicatedTokenBucket
        ] = {}
        self._unreported_requests: dict[model.TeamId, int] = {}
        self._deducted_at_ms: float | None = None

    def update_teams(
        self, teams: collections.abc.Iterable[policies.Team], now_ms: float
    ) -> None:
        """Replace the teams and their limits by those of a configuration."""
        is_first_update = not self._limited_teams
        self._limited_teams = {
            team.id: team for team in teams if team.rate_per_s > 0
        }
        for removed_id in self._buckets.keys() - self._limited_teams.keys():
            del self._buckets[removed_id]
        for team in self._limited_teams.values():
            rate_per_s = team.rate_per_s * (1 + LIMIT_MARGIN_RATIO)
            burst_requests = max(
                1.0, team.burst_requests * (1 + LIMIT_MARGIN_RATIO)
            )
            bucket = self._buckets.get(team.id)
            if bucket is not None:
                bucket.update_limits(rate_per_s, burst_requests, now_ms)
                continue
            tokens = burst_requests
            if is_first_update and not self._is_first_start:
                restart_tokens = (
                    rate_per_s * tokenbucket.RESTART_REFILL_MS / 1_000
                )
                tokens = min(burst_requests, restart_tokens)
            self._buckets[team.id] = tokenbucket.ReplicatedTokenBucket(
                rate_per_s, burst_requests, tokens, now_ms
            )

    def try_admit(self, team_id: model.TeamId, now_ms: float) -> bool:
        """Take a token for a team's request, and tell whether it may run.

        Requests of teams without a limit may always run.
        """
        bucket = self._buckets.get(team_id)
        if bucket is None:
            return True
        if not bucket.try_take_token(now_ms):
            return False
        self._unreported_requests[team_id] = (
            self._unreported_requests.get(team_id, 0) + 1
        )
        return True

    def refund_token(self, team_id: model.TeamId, now_ms: float) -> None:
        """Give a team the token of an admitted request that didn't run."""
        bucket = self._buckets.get(team_id)
        if bucket is None:
            return
        bucket.subtract_tokens(-1, now_ms)
        self._unreported_requests[team_id] = (
            self._unreported_requests.get(team_id, 0) - 1
        )

    def retry_after_ms(self, team_id: model.TeamId, now_ms: float) -> float:
        """Return the time until a request of a team can be admitted."""
        bucket = self._buckets.get(team_id)
        return (
            bucket.time_to_next_token_ms(now_ms) if bucket is not None else 0.0
        )

    def pop_usage_report(self) -> messages.UsageReport:
        """Return the requests admitted since the last call, and reset them."""
        unreported, self._unreported_requests = self._unreported_requests, {}
        return messages.UsageReport(
            teams=tuple(
                messages.TeamUsage(team_id, requests)
                for team_id, requests in unreported.items()
                if requests
            )
        )

    def apply_usage_report(
        self, report: messages.UsageReport, now_ms: float
    ) -> None:
        """Subtract the requests that another host admitted from the buckets.

        Teams that this host doesn't limit are ignored.
        """
        for usage in report.teams:
            bucket = self._buckets.get(usage.team)
            if bucket is not None:
                bucket.subtract_tokens(usage.requests, now_ms)

    def deduct_unreported_usage(
        self, usable_rate_ratio: float, now_ms: float
    ) -> None:
        """Subtract what hosts whose reports don't arrive may have admitted.

        ``usable_rate_ratio`` is the part of each rate that this host and the
        hosts that it receives reports from may use. While it is below 1, the
        bursts are reduced by the same ratio.
        """
        previous_ms, self._deducted_at_ms = self._deducted_at_ms, now_ms
        if previous_ms is None or usable_rate_ratio >= 1.0:
            return
        elapsed_s = (now_ms - previous_ms) / 1_000
        for team_id, bucket in self._buckets.items():
            team = self._limited_teams[team_id]
            rate_per_s = team.rate_per_s * (1 + LIMIT_MARGIN_RATIO)
            unusable_per_s = rate_per_s * (1 - usable_rate_ratio)
            bucket.subtract_tokens(unusable_per_s * elapsed_s, now_ms)
            bucket.cap_tokens(
                max(1.0, team.burst_requests * usable_rate_ratio), now_ms
            )
