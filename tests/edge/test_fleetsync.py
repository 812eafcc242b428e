"""Tests of the reports that active hosts send to each other."""

import random

import anyio
import msgspec
import trio
import trio.testing

from pomeloward import balance
from pomeloward import fleet
from pomeloward import model
from pomeloward import policy as policies
from pomeloward import quarantine
from pomeloward import quota
from pomeloward import retry
from pomeloward import settings
from pomeloward.edge import fleetsync
from pomeloward.edge import quarantinereporter
from tests.balance import factories

_READY = fleet.MemberState.READY


class RecordingPeers:
    """Records the messages that are sent and the registered handlers."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def notify(self, host, message):
        self.sent.append((host, message))

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def health_reports(self):
        """Return the receiver and the target ids of each health report."""
        return [
            (host, message.targets)
            for host, message in self.sent
            if isinstance(message, balance.UnhealthyTargets)
        ]


def _make_member(host, zone):
    incarnation = model.Incarnation(1)
    return fleet.Member(model.HostId(host), zone, incarnation, _READY)


class ActiveHost:
    """An active host of the local zone.

    It knows another host of its zone and 10.1.0.1:80 of the remote zone.
    """

    def __init__(self, targets, peers=None):
        self.peers = peers or RecordingPeers()
        own_member = _make_member("10.0.0.1:80", factories.LOCAL_ZONE)
        membership = self.membership = fleet.Membership(
            own_member, (factories.LOCAL_ZONE, factories.REMOTE_ZONE), ()
        )
        for host, zone in (
            ("10.0.0.2:80", factories.LOCAL_ZONE),
            ("10.1.0.1:80", factories.REMOTE_ZONE),
        ):
            membership.apply_heartbeat(
                fleet.Heartbeat(own=_make_member(host, zone)), 0.0
            )
        self.retry_budgets = retry.ServiceRetryBudgets(0.2, 60.0, True)
        self.quarantine = quarantine.RequestQuarantine(lambda *_: None)
        self.rate_limiter = quota.TeamRateLimiter(True)
        self.target_limits = balance.TargetLimits(
            factories.LOCAL_ZONE, lambda *_: None, random.Random(1)
        )
        self.balancer = factories.make_balancer(
            targets, target_limits=self.target_limits
        )
        self.fleet_sync = fleetsync.FleetSync(
            membership,
            self.peers,
            self.rate_limiter,
            self.retry_budgets,
            self.balancer,
            self.target_limits,
            quarantinereporter.QuarantineReporter(
                membership, self.peers, self.quarantine
            ),
            settings.OperatorBounds,
        )

    def limit_team(self, team_id, now_ms):
        """Give a team a rate, so that its requests are reported."""
        team = policies.Team(
            id=model.TeamId(team_id),
            digests=(),
            rate_per_s=10.0,
            burst_requests=10.0,
        )
        self.rate_limiter.update_teams([team], now_ms)

    def usage_reports(self):
        """Return the usage reports with at least one team."""
        return [
            message
            for _, message in self.peers.sent
            if isinstance(message, quota.UsageReport) and message.teams
        ]

    def make_target_unhealthy(self, target_id):
        """End an attempt at a target without an answer."""
        route = factories.make_route()
        excluded_ids = {"n1", "n2", "f1", "f2"} - {target_id}
        attempt = self.balancer.start_attempt(
            factories.SERVICE_ID, route, excluded_ids, False, 0.0
        )
        self.balancer.end_attempt(attempt, balance.Outcome.SILENT, 10.0, route)

    def limit_reports(self):
        """Return the receiver and the limits of each report of limits."""
        return [
            (host, [tuple(msgspec.to_builtins(one)) for one in message.limits])
            for host, message in self.peers.sent
            if isinstance(message, balance.TargetLimitReport)
        ]


def test_limit_of_a_target_is_reported_at_once_and_then_regularly():
    host = ActiveHost([factories.make_target("n1")])
    host.fleet_sync.sync(100.0)
    assert not host.limit_reports()
    host.target_limits.record_answer("n1", 2.5, 200.0)
    host.fleet_sync.sync(250.0)
    assert sorted(host.limit_reports()) == [
        ("10.0.0.2:80", [("n1", 2.5)]),
        ("10.1.0.1:80", [("n1", 2.5)]),
    ]
    for now_ms in (400.0, 1_200.0, 1_300.0):
        host.fleet_sync.sync(now_ms)
    assert len(host.limit_reports()) == 4


def test_limits_of_other_zones_are_relayed_to_the_own_zone_only():
    """Hosts without callers would each find out a limit by exceeding it."""
    host = ActiveHost([factories.make_target("f1", factories.REMOTE_ZONE)])
    report = balance.TargetLimitReport(
        limits=(balance.TargetLimit("f1", 1.0),)
    )
    handle = host.peers.handlers[balance.TargetLimitReport]
    handle("10.9.9.9:80", report, 0.0)
    host.fleet_sync.sync(100.0)
    assert not host.limit_reports()
    handle("10.1.0.1:80", report, 100.0)
    host.fleet_sync.sync(250.0)
    assert host.limit_reports() == [("10.0.0.2:80", [("f1", 1.0)])]


def test_unhealthy_targets_are_reported_to_other_zones_only():
    host = ActiveHost(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    host.fleet_sync.sync(100.0)
    assert not host.peers.health_reports()
    host.make_target_unhealthy("n1")
    host.fleet_sync.sync(250.0)
    assert host.peers.health_reports() == [("10.1.0.1:80", ("n1",))]


def test_health_reports_are_repeated_at_their_interval():
    host = ActiveHost([factories.make_target("n1")])
    host.make_target_unhealthy("n1")
    for number in range(10):
        host.fleet_sync.sync(number * quota.USAGE_REPORT_INTERVAL_MS)
    elapsed_ms = 9 * quota.USAGE_REPORT_INTERVAL_MS
    assert (
        len(host.peers.health_reports())
        == elapsed_ms // balance.HEALTH_REPORT_INTERVAL_MS + 1
    )


def test_health_report_is_applied_unless_its_sender_is_unknown():
    targets = [
        factories.make_target(target_id, factories.REMOTE_ZONE)
        for target_id in ("f1", "f2")
    ]
    host = ActiveHost(targets)
    handle_report = host.peers.handlers[balance.UnhealthyTargets]
    report = balance.UnhealthyTargets(targets=(model.TargetId("f1"),))
    route = factories.make_route()
    handle_report(model.HostId("10.9.0.1:80"), report, 0.0)
    selected_ids = [
        host.balancer.start_attempt(
            factories.SERVICE_ID, route, (), False, 1.0
        ).target_id
        for _ in range(4)
    ]
    assert sorted(selected_ids) == ["f1", "f1", "f2", "f2"]
    host = ActiveHost(targets)
    handle_report = host.peers.handlers[balance.UnhealthyTargets]
    handle_report(model.HostId("10.1.0.1:80"), report, 0.0)
    attempt = host.balancer.start_attempt(
        factories.SERVICE_ID, route, (), False, 1.0
    )
    assert attempt.target_id == "f2"


def test_idle_host_reports_a_request_at_the_usual_interval():
    """An idle host synchronizes rarely, but its callers' requests count."""

    async def main():
        host = ActiveHost([])
        own_member = host.membership.own_member
        host.membership.own_member = msgspec.structs.replace(
            own_member, capacity_per_s=1
        )
        now_ms = model.now_ms()
        for other in ("10.0.0.2:80", "10.1.0.1:80"):
            zone = host.membership.zone_of(other)
            beat = fleet.Heartbeat(own=_make_member(other, zone))
            host.membership.apply_heartbeat(beat, now_ms)
        host.limit_team("crew", now_ms)
        host.fleet_sync.sync(now_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.fleet_sync.run)
            await anyio.sleep(0.2)
            assert not host.usage_reports()
            host.rate_limiter.try_admit(model.TeamId("crew"), model.now_ms())
            host.fleet_sync.wake()
            await anyio.sleep(0.2)
            assert len(host.usage_reports()) == 2
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_host_of_a_first_start_has_its_part_of_the_retry_slack():
    """Hosts synchronize before they are ready, when none of them is active."""
    host = ActiveHost([])
    ready_member = host.membership.own_member
    host.membership.own_member = msgspec.structs.replace(
        ready_member, state=fleet.MemberState.STARTING
    )
    host.fleet_sync.sync(100.0)
    host.membership.own_member = ready_member
    host.fleet_sync.sync(250.0)
    budget = host.retry_budgets.budget_for(factories.SERVICE_ID)
    assert budget.try_take_token()
