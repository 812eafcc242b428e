"""Sends well-formed messages with absurd values to a host's handlers.

An authenticated peer may run another release or be out of its mind.
"""

import hypothesis
from hypothesis import strategies
import msgspec
import trio
import trio.testing

from pomeloward import balance
from pomeloward import fleet
from pomeloward import model
from pomeloward import quota
from pomeloward.peer import messagedispatcher
from pomeloward.peer import pendingrequests
from pomeloward.peer import trafficcounters
from tests.balance import factories
from tests.edge import test_fleetsync

_INTEGERS = strategies.integers(-(2**63), 2**64 - 1)
_NAMES = strategies.one_of(
    strategies.text(max_size=20),
    strategies.sampled_from(["10.0.0.2:80", "10.1.0.1:80", "n1", "crew"]),
)
_ZONES = strategies.sampled_from(
    [factories.LOCAL_ZONE, factories.REMOTE_ZONE, "nowhere", ""]
)
_MEMBERS = strategies.builds(
    fleet.Member,
    _NAMES,
    _ZONES,
    _INTEGERS,
    strategies.sampled_from(fleet.MemberState),
    _INTEGERS,
    _INTEGERS,
)
_HEARTBEATS = strategies.builds(
    fleet.Heartbeat,
    own=_MEMBERS,
    others=strategies.lists(
        strategies.builds(fleet.MemberReport, _MEMBERS, _INTEGERS), max_size=4
    ).map(tuple),
    digest=_INTEGERS,
    fresh_age_ms=_INTEGERS,
    is_asking=strategies.booleans(),
)
_USAGE_REPORTS = strategies.builds(
    quota.UsageReport,
    teams=strategies.lists(
        strategies.builds(quota.TeamUsage, _NAMES, _INTEGERS), max_size=4
    ).map(tuple),
)
_HEALTH_REPORTS = strategies.builds(
    balance.UnhealthyTargets,
    targets=strategies.lists(_NAMES, max_size=4).map(tuple),
)


class Handlers(test_fleetsync.RecordingPeers):
    """Runs handlers as the connections of peers do."""

    def __init__(self):
        super().__init__()
        self.dispatcher = messagedispatcher.MessageDispatcher(
            pendingrequests.PendingRequests(),
            trafficcounters.TrafficCounters(),
        )

    def register_handler(self, message_type, handler):
        super().register_handler(message_type, handler)
        self.dispatcher.register_handler(message_type, handler)

    def reconnect(self, host):
        pass


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    messages=strategies.lists(
        strategies.one_of(_HEARTBEATS, _USAGE_REPORTS, _HEALTH_REPORTS),
        min_size=1,
        max_size=6,
    )
)
def test_absurd_messages_leave_a_host_at_work(messages):
    """One message took a whole process down, or its callers elsewhere."""

    async def main():
        _receive_and_decide(messages)

    trio.run(main, clock=trio.testing.MockClock())


def _receive_and_decide(messages):
    """Let a host receive messages, then check its decisions."""
    host = test_fleetsync.ActiveHost([factories.make_target("n1")], Handlers())
    host.limit_team("crew", 0.0)
    fleet.HeartbeatExchange(
        host.membership,
        host.peers,
        lambda now_ms: (0, 0),
        lambda *_: None,
        lambda: None,
    )
    for message in messages:
        encoded = msgspec.to_builtins(message, builtin_types=(bytes,))
        decoded = msgspec.convert(encoded, type(message))
        host.peers.dispatcher.run_handler(
            getattr(getattr(message, "own", None), "host", "10.0.0.2:80"),
            decoded,
        )
    for now_ms in (100.0, 1_000.0, 60_000.0):
        host.fleet_sync.sync(now_ms)
        membership = host.membership
        for zone in membership.zones:
            for member in membership.members_for_callers(zone, now_ms):
                ip_address, _, port = member.host.rpartition(":")
                assert ip_address.count(".") == 3 and port.isdigit()
        for receiver in membership.gossip_peers(now_ms):
            membership.reports_for(receiver, now_ms)
        membership.remove_expired_members(now_ms)
        membership.newly_silent_hosts(now_ms)
    assert isinstance(host.membership.own_member, fleet.Member)
    attempt = host.balancer.start_attempt(
        factories.SERVICE_ID, factories.make_route(), (), True, 60_000.0
    )
    assert attempt is not None
    assert model.TargetId("n1") == attempt.target_id
