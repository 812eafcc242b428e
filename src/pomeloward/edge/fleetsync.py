"""Exchanges quota usage and unhealthy targets with other hosts."""

import collections.abc

import anyio

from pomeloward import balance
from pomeloward import fleet
from pomeloward import model
from pomeloward import peer
from pomeloward import quota
from pomeloward import retry
from pomeloward import settings
from pomeloward.edge import quarantinereporter

# Interval on a host that callers are not sent to, unless a request arrives
# or the membership changes.
_IDLE_INTERVAL_MS = 900.0


class FleetSync:
    """Keeps this host's share of the fleet's limits up to date.

    The limits are the teams' rates, the retry budgets and the targets'
    slots. The reports of the quarantine are sent with theirs. Active hosts
    are those that callers are sent to.
    """

    def __init__(
        self,
        membership: fleet.Membership,
        peers: peer.Peers,
        rate_limiter: quota.TeamRateLimiter,
        retry_budgets: retry.ServiceRetryBudgets,
        balancer: balance.Balancer,
        target_limits: balance.TargetLimits,
        quarantine_reporter: quarantinereporter.QuarantineReporter,
        current_bounds: collections.abc.Callable[[], settings.OperatorBounds],
    ) -> None:
        """Register the handlers of all kinds of reports with ``peers``.

        ``current_bounds`` returns the bounds of the latest settings.
        """
        self._membership = membership
        self._peers = peers
        self._rate_limiter = rate_limiter
        self._retry_budgets = retry_budgets
        self._balancer = balancer
        self._target_limits = target_limits
        self._quarantine_reporter = quarantine_reporter
        self._current_bounds = current_bounds
        self._zone_report_tracker = quota.ZoneReportTracker(
            membership.own_member.zone
        )
        self._health_reported_ms = float("-inf")
        self._limits_reported_ms = float("-inf")
        self._reported_limits: tuple[balance.TargetLimit, ...] = ()
        self._is_idle = False
        self._woken = anyio.Event()
        peers.register_handler(quota.UsageReport, self._handle_usage_report)
        peers.register_handler(
            balance.UnhealthyTargets, self._handle_unhealthy_targets
        )
        peers.register_handler(
            balance.TargetLimitReport, self._handle_target_limits
        )

    async def run(self) -> None:
        """Synchronize at each report interval, until cancelled.

        An idle host waits longer, since it has nothing to report.
        """
        while True:
            is_woken = True
            if self._is_idle:
                with anyio.move_on_after(_IDLE_INTERVAL_MS / 1_000):
                    await self._woken.wait()
                is_woken = self._woken.is_set()
            if is_woken:
                await anyio.sleep(quota.USAGE_REPORT_INTERVAL_MS / 1_000)
            self._woken = anyio.Event()
            self.sync(model.now_ms())

    def wake(self) -> None:
        """Synchronize soon: a request or a change of the membership came."""
        if self._is_idle:
            self._woken.set()

    def sync(self, now_ms: float) -> None:
        """Send due reports and update this host's shares of the limits."""
        membership = self._membership
        own_zone = membership.own_member.zone
        zone_active_members = membership.active_members(own_zone, now_ms)
        all_active_members = membership.all_active_members(now_ms)
        own_host = membership.own_member.host
        is_active = any(
            member.host == own_host for member in zone_active_members
        )
        self._rate_limiter.deduct_unreported_usage(
            self._zone_report_tracker.usable_rate_ratio(
                membership.zone_count,
                membership.known_host_count,
                is_active,
                now_ms,
            ),
            now_ms,
        )
        usage_report = self._rate_limiter.pop_usage_report()
        # A zone whose usual hosts have lost their path is not silent: they
        # leave its part of the rates to the hosts that serve its callers.
        is_usually_active = is_active or any(
            member.host == own_host
            for member in membership.usual_active_members(own_zone, now_ms)
        )
        if usage_report.teams or is_usually_active:
            for member in all_active_members:
                if member.host != own_host:
                    self._peers.notify(member.host, usage_report)
        self._is_idle = not is_usually_active and not usage_report.teams
        if is_active:
            self._report_unhealthy_targets(all_active_members, now_ms)
            self._report_target_limits(all_active_members, now_ms)
        self._quarantine_reporter.send_reports(
            is_active, all_active_members, now_ms
        )
        bounds = self._current_bounds()
        host_count = max(len(all_active_members), membership.zone_count)
        # A host that is still starting may become one of the active ones.
        is_starting = membership.own_member.state is fleet.MemberState.STARTING
        self._retry_budgets.update_limits(
            bounds.retry_ratio,
            bounds.retry_slack,
            host_count,
            is_active or is_starting,
        )
        adopted_zones = self._adopted_zones(now_ms)
        self._balancer.update_active_hosts(
            is_active, len(zone_active_members), adopted_zones
        )
        self._target_limits.expire(now_ms)
        self._target_limits.update_share(
            membership.own_load_ratio(now_ms), adopted_zones
        )

    def _report_unhealthy_targets(
        self,
        all_active_members: collections.abc.Iterable[fleet.Member],
        now_ms: float,
    ) -> None:
        """Report this zone's unhealthy targets to hosts of other zones."""
        if (
            now_ms - self._health_reported_ms
            < balance.HEALTH_REPORT_INTERVAL_MS
        ):
            return
        target_ids = self._balancer.unhealthy_targets(now_ms)
        if not target_ids:
            return
        self._health_reported_ms = now_ms
        for member in all_active_members:
            if member.zone != self._membership.own_member.zone:
                report = balance.UnhealthyTargets(targets=target_ids)
                self._peers.notify(member.host, report)

    def _report_target_limits(
        self,
        all_active_members: collections.abc.Iterable[fleet.Member],
        now_ms: float,
    ) -> None:
        """Report the rate limits that targets of this zone have named.

        All hosts of the zone get them, with those of other zones, since any
        host may get requests; in other zones only the active hosts.
        """
        limits = self._target_limits.answered_limits()
        is_due = (
            now_ms - self._limits_reported_ms
            >= balance.LIMIT_REPORT_INTERVAL_MS
        )
        relayed_limits = self._target_limits.relayed_limits()
        if not limits and not relayed_limits:
            return
        if not is_due and limits == self._reported_limits:
            return
        self._limits_reported_ms = now_ms
        self._reported_limits = limits
        own_member = self._membership.own_member
        for member in self._membership.live_members(own_member.zone, now_ms):
            if member.host != own_member.host:
                self._peers.notify(
                    member.host,
                    balance.TargetLimitReport(limits=limits + relayed_limits),
                )
        for member in all_active_members:
            if member.zone != own_member.zone and limits:
                self._peers.notify(
                    member.host, balance.TargetLimitReport(limits=limits)
                )

    def _handle_target_limits(
        self, sender: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        """Apply a report of limits unless the sender's zone is unknown."""
        zone = self._membership.zone_of(sender)
        if isinstance(message, balance.TargetLimitReport) and zone is not None:
            self._target_limits.apply_report(
                sender, zone, message.limits, now_ms
            )

    def _handle_unhealthy_targets(
        self, sender: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        """Apply a health report unless the sender's zone is unknown."""
        zone = self._membership.zone_of(sender)
        if isinstance(message, balance.UnhealthyTargets) and zone is not None:
            self._balancer.apply_health_report(
                zone, set(message.targets), now_ms
            )

    def _adopted_zones(self, now_ms: float) -> frozenset[model.ZoneId]:
        """Return the zones for whose cold targets this host is responsible.

        Other zones send no requests to cold targets while a target's zone
        has active hosts. The first zone with active hosts adopts all zones
        without any.
        """
        membership = self._membership
        active_zones = [
            zone
            for zone in sorted(membership.zones)
            if membership.active_members(zone, now_ms)
        ]
        if not active_zones or active_zones[0] != membership.own_member.zone:
            return frozenset()
        return frozenset(membership.zones - set(active_zones))

    def _handle_usage_report(
        self, sender: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        """Apply a usage report and record that its sender's zone reports."""
        if not isinstance(message, quota.UsageReport):
            return
        self._rate_limiter.apply_usage_report(message, now_ms)
        zone = self._membership.zone_of(sender)
        if zone is not None:
            self._zone_report_tracker.record_report(zone, now_ms)
