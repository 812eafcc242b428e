"""Tests of what active hosts tell each other."""

from pomeloward import balance
from pomeloward import fleet
from pomeloward import model
from pomeloward import quota
from pomeloward import retry
from pomeloward import settings
from pomeloward.edge import sharing
from tests.balance import factories

_READY = fleet.MemberState.READY


class Peers:
    """Keeps what was told, and the handlers."""

    def __init__(self):
        self.told = []
        self.handlers = {}

    def notify(self, host, message):
        self.told.append((host, message))

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def reports(self):
        return [
            (host, message.targets)
            for host, message in self.told
            if isinstance(message, balance.UnhealthyTargets)
        ]


def _member(name, zone):
    incarnation = model.Incarnation(1)
    return fleet.Member(model.HostId(name), zone, incarnation, _READY)


class Host:
    """An active host of the near zone that knows one of the far zone."""

    def __init__(self, targets):
        self.peers = Peers()
        own = _member("10.0.0.1:80", factories.LOCAL_ZONE)
        roster = fleet.Membership(
            own, (factories.LOCAL_ZONE, factories.REMOTE_ZONE), ()
        )
        for name, zone in (
            ("10.0.0.2:80", factories.LOCAL_ZONE),
            ("10.1.0.1:80", factories.REMOTE_ZONE),
        ):
            roster.apply_heartbeat(
                fleet.Heartbeat(own=_member(name, zone)), 0.0
            )
        self.balancer = factories.make_balancer(targets)
        self.sharing = sharing.Sharing(
            roster,
            self.peers,
            quota.TeamRateLimiter(True),
            retry.ServiceRetryBudgets(0.2, 60.0),
            self.balancer,
            settings.Bounds,
        )

    def doubt(self, name):
        """Let a run at a target end in silence."""
        route = factories.make_route()
        others = {"n1", "n2", "f1", "f2"} - {name}
        run = self.balancer.start_attempt(
            factories.SERVICE_ID, route, others, False, 0.0
        )
        self.balancer.end_attempt(run, balance.Outcome.SILENT, 10.0, route)


def test_doubtful_targets_are_reported_to_other_zones_only():
    host = Host([factories.make_target("n1"), factories.make_target("n2")])
    host.sharing.step(100.0)
    assert not host.peers.reports()
    host.doubt("n1")
    host.sharing.step(250.0)
    assert host.peers.reports() == [("10.1.0.1:80", ("n1",))]


def test_reports_are_repeated_at_their_interval():
    host = Host([factories.make_target("n1")])
    host.doubt("n1")
    for step in range(10):
        host.sharing.step(step * quota.USAGE_REPORT_INTERVAL_MS)
    passed_ms = 9 * quota.USAGE_REPORT_INTERVAL_MS
    assert (
        len(host.peers.reports())
        == passed_ms // balance.HEALTH_REPORT_INTERVAL_MS + 1
    )


def test_report_of_another_zone_is_taken_and_that_of_a_stranger_is_not():
    targets = [
        factories.make_target(name, factories.REMOTE_ZONE)
        for name in ("f1", "f2")
    ]
    host = Host(targets)
    take = host.peers.handlers[balance.UnhealthyTargets]
    report = balance.UnhealthyTargets(targets=(model.TargetId("f1"),))
    route = factories.make_route()
    take(model.HostId("10.9.0.1:80"), report, 0.0)
    chosen = [
        host.balancer.start_attempt(
            factories.SERVICE_ID, route, (), False, 1.0
        ).target_id
        for _ in range(4)
    ]
    assert sorted(chosen) == ["f1", "f1", "f2", "f2"]
    host = Host(targets)
    take = host.peers.handlers[balance.UnhealthyTargets]
    take(model.HostId("10.1.0.1:80"), report, 0.0)
    run = host.balancer.start_attempt(
        factories.SERVICE_ID, route, (), False, 1.0
    )
    assert run.target_id == "f2"
