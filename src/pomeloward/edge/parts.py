"""The parts of a host and how they hear of each other."""

import collections.abc
import random

from pomeloward import balance
from pomeloward import dispatch
from pomeloward import entry
from pomeloward import fleet
from pomeloward import model
from pomeloward import observability
from pomeloward import peer
from pomeloward import policy as policies
from pomeloward import quota
from pomeloward import relay
from pomeloward import replica
from pomeloward import retry
from pomeloward import settings
from pomeloward.edge import capacity
from pomeloward.edge import events
from pomeloward.edge import peeraddresses
from pomeloward.edge import sharing

# Nothing secret comes with the settings; the platform's network is closed.
_FLEET_SECRET = b"pomeloward edge fleet"
# Targets close idle connections after 10 s and say so; some do it earlier.
_TARGET_IDLE_MS = 8_000.0
# Hosts of the other zones, and those that take a stopped one's place, use
# the same target.
_HOSTS_PER_ZONE_AND_TARGET = 4
_LEAST_CONNECTIONS = 2


class Parts:
    """Builds the decisions of a host and wires them together."""

    def __init__(
        self,
        given: settings.EdgeSettings,
        incarnation: model.Incarnation,
        source: replica.StoreClient,
        dialect: relay.HttpConventions,
        bounds: collections.abc.Callable[[], settings.Bounds],
    ) -> None:
        """Build the parts inside the running loop.

        ``bounds`` returns those of the newest settings.
        """
        rng = random.Random(given.host)  # noqa: S311
        self.metrics = observability.Metrics()
        self.peers = peer.WebsocketPeers(
            peer.Identity(given.host, incarnation),
            _FLEET_SECRET,
            peeraddresses.PeerAddresses(),
            rng=rng,
        )
        own = fleet.Member(
            given.host,
            given.zone,
            incarnation,
            capacity_per_s=capacity.capacity_per_s(given),
        )
        self.roster = fleet.Membership(own, given.zones, given.seeds)
        self.replica = replica.Replica()
        self.feed = replica.Replicator(
            self.replica,
            self.peers,
            lambda: self.roster.gossip_peers(model.now_ms()),
            self._changed,
        )
        self._turn = replica.ReadSchedule(model.now_ms())
        self.reader = replica.StorePoller(
            source, self.replica, self.feed, self._turn, self._standing
        )
        self.beating = fleet.HeartbeatExchange(
            self.roster, self.peers, self._status, self._on_beat
        )
        self.links = dispatch.Links(_TARGET_IDLE_MS, given.callers.ip_address)
        self.open = relay.OpenRequests()
        self._rate_limiter = quota.TeamRateLimiter(given.is_first_start)
        self._balancer = balance.Balancer(
            given.zone, events.log_suspicion, rng
        )
        self._gate = relay.AdmissionControl(self._rate_limiter)
        self.placement = relay.SlotAllocator(self._balancer)
        budgets = retry.ServiceRetryBudgets(
            given.bounds.retry_ratio, given.bounds.retry_slack
        )
        sender = relay.TargetClient(self.links, dialect, self._connections)
        self.app = relay.Application(
            dialect,
            self._gate,
            relay.Forwarder(self.placement, self._balancer, sender, budgets),
            self.open,
            self.metrics,
        )
        self.sharing = sharing.Sharing(
            self.roster,
            self.peers,
            self._rate_limiter,
            budgets,
            self._balancer,
            bounds,
        )
        self.metrics.register_gauge(
            "pomeloward_open_requests", lambda: self.open.count
        )
        self.metrics.register_gauge(
            "pomeloward_waiting", self.placement.waiting_count
        )

    def caller_times(self) -> entry.CallerTimes:
        """Return how long callers may take, by the newest configuration."""
        index = self._gate.policy_index
        if index is None:
            return entry.CallerTimes()
        limits = index.policy.limits
        return entry.CallerTimes(
            idle_s=limits.idle_ms / 1_000, head_s=limits.head_ms / 1_000
        )

    def close(self) -> None:
        """Refuse new requests from now on."""
        self._gate.stop_admitting()

    def _changed(self, news: tuple[replica.Change, ...]) -> None:
        """Put what the platform published in force."""
        at_ms = model.now_ms()
        for one in news:
            if isinstance(one, replica.PolicyChange):
                self._put_in_force(one.policy, at_ms)
        self._balancer.update_targets(
            self.replica.targets(), self.replica.zones_out_of_service(), at_ms
        )
        for one in news:
            events.log_change(one)

    def _put_in_force(self, policy: policies.Policy, at_ms: float) -> None:
        if self.replica.policy is not policy:
            return
        self._gate.policy_index = policies.PolicyIndex(policy)
        self._rate_limiter.update_teams(policy.teams, at_ms)
        self._balancer.update_services(policy.services)

    def _status(self, at_ms: float) -> tuple[int, int]:
        age_ms = self._turn.state_age_ms(at_ms)
        if self.replica.policy is None or age_ms is None:
            return self.replica.digest, -1
        return self.replica.digest, int(age_ms)

    def _on_beat(
        self, host: model.HostId, beat: fleet.Heartbeat, at_ms: float
    ) -> None:
        if beat.fresh_age_ms < 0:
            return
        if self.feed.is_in_sync_with(host, beat.digest, at_ms):
            # Only a host that knows the same tells how old this state is.
            self._turn.record_state_read_at(at_ms - beat.fresh_age_ms)

    def _standing(self, at_ms: float) -> tuple[int, bool]:
        return self.roster.own_rank(at_ms), self.roster.has_live_peers(at_ms)

    def _connections(self, service: model.ServiceId) -> int:
        """Return how many connections this host may open to a target."""
        index = self._gate.policy_index
        if index is None:
            return _LEAST_CONNECTIONS
        most = index.service_or_default(service).connections_per_target
        sharing_hosts = _HOSTS_PER_ZONE_AND_TARGET * self.roster.zone_count
        return max(_LEAST_CONNECTIONS, most // sharing_hosts)
