"""Regular exchange of spending, and of who serves which targets."""

import collections.abc

import anyio

from pomeloward import balance
from pomeloward import fleet
from pomeloward import model
from pomeloward import peer
from pomeloward import quota
from pomeloward import retry
from pomeloward import settings


class Sharing:
    """Keeps the limits that all hosts share in step with the fleet."""

    def __init__(
        self,
        roster: fleet.Membership,
        peers: peer.Peers,
        rate_limiter: quota.TeamRateLimiter,
        budgets: retry.ServiceRetryBudgets,
        balancer: balance.Balancer,
        bounds: collections.abc.Callable[[], settings.Bounds],
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._rate_limiter = rate_limiter
        self._budgets = budgets
        self._balancer = balancer
        self._bounds = bounds
        self._zone_report_tracker = quota.ZoneReportTracker(
            roster.own_member.zone
        )
        self._reported_ms = float("-inf")
        peers.register_handler(quota.UsageReport, self._on_usage_report)
        peers.register_handler(balance.UnhealthyTargets, self._on_doubtful)

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            await anyio.sleep(quota.USAGE_REPORT_INTERVAL_MS / 1_000)
            self.step(model.now_ms())

    def step(self, now_ms: float) -> None:
        """Report and take what the fleet looks like now."""
        roster = self._roster
        zone = roster.own_member.zone
        near = roster.active_members(zone, now_ms)
        everywhere = roster.all_active_members(now_ms)
        own = roster.own_member.host
        is_active = any(one.host == own for one in near)
        self._rate_limiter.deduct_unreported_usage(
            self._zone_report_tracker.usable_rate_ratio(
                roster.zone_count, roster.known_host_count, is_active, now_ms
            ),
            now_ms,
        )
        usage_report = self._rate_limiter.pop_usage_report()
        if usage_report.teams or is_active:
            for one in everywhere:
                if one.host != own:
                    self._peers.notify(one.host, usage_report)
        if is_active:
            self._report_doubtful(everywhere, now_ms)
        bounds = self._bounds()
        hosts = max(len(everywhere), roster.zone_count)
        self._budgets.update_limits(
            bounds.retry_ratio, bounds.retry_slack, hosts
        )
        self._balancer.update_active_hosts(
            is_active, len(near), self._stands_in_for(now_ms)
        )

    def _report_doubtful(
        self,
        everywhere: collections.abc.Iterable[fleet.Member],
        now_ms: float,
    ) -> None:
        """Tell the active hosts of other zones which targets to avoid."""
        if now_ms - self._reported_ms < balance.HEALTH_REPORT_INTERVAL_MS:
            return
        doubtful = self._balancer.unhealthy_targets(now_ms)
        if not doubtful:
            return
        self._reported_ms = now_ms
        for one in everywhere:
            if one.zone != self._roster.own_member.zone:
                report = balance.UnhealthyTargets(targets=doubtful)
                self._peers.notify(one.host, report)

    def _on_doubtful(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        zone = self._roster.zone_of(host)
        if isinstance(message, balance.UnhealthyTargets) and zone is not None:
            self._balancer.apply_health_report(
                zone, set(message.targets), now_ms
            )

    def _stands_in_for(self, now_ms: float) -> frozenset[model.ZoneId]:
        """Return the zones without hosts whose cold targets we pace.

        The first zone with a host stands in for all that have none.
        """
        roster = self._roster
        led = [
            zone
            for zone in sorted(roster.zones)
            if roster.active_members(zone, now_ms)
        ]
        if not led or led[0] != roster.own_member.zone:
            return frozenset()
        return frozenset(roster.zones - set(led))

    def _on_usage_report(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        if not isinstance(message, quota.UsageReport):
            return
        self._rate_limiter.apply_usage_report(message, now_ms)
        zone = self._roster.zone_of(host)
        if zone is not None:
            self._zone_report_tracker.record_report(zone, now_ms)
