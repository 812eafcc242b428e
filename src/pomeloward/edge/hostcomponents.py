"""Builds the components of a host and connects them."""

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
from pomeloward import quarantine
from pomeloward import quota
from pomeloward import relay
from pomeloward import replica
from pomeloward import retry
from pomeloward import settings
from pomeloward.edge import capacity
from pomeloward.edge import fleetsync
from pomeloward.edge import logevents
from pomeloward.edge import peeraddressresolver
from pomeloward.edge import quarantinereporter

# The settings contain no secret; the platform's network is closed to
# outsiders.
_FLEET_SECRET = b"pomeloward edge fleet"
# Targets announce that they close idle connections after 10 s; some close
# them earlier.
_TARGET_IDLE_MS = 8_000.0
# A target's connections are divided into this many parts per zone, since
# hosts of other zones and replacements of stopped hosts connect to it too.
_CONNECTION_PARTS_PER_ZONE = 4
_MIN_CONNECTIONS_PER_TARGET = 2
# Connections to peers are needed only while requests are relayed.
_PEER_IDLE_MS = 5_000.0


class HostComponents:
    """The components of one host, connected by callbacks.

    The caller runs those that have a ``run`` method.
    """

    def __init__(
        self,
        host_settings: settings.EdgeSettings,
        incarnation: model.Incarnation,
        store_client: replica.StoreClient,
        http_conventions: relay.HttpConventions,
        current_bounds: collections.abc.Callable[[], settings.OperatorBounds],
    ) -> None:
        """Build the components inside the running event loop.

        ``current_bounds`` returns the bounds of the latest settings.
        """
        self._rng = rng = random.Random(host_settings.host)  # noqa: S311
        self.metrics = observability.Metrics()
        self.peers = peer.WebsocketPeers(
            peer.Identity(host_settings.host, incarnation),
            _FLEET_SECRET,
            peeraddressresolver.PeerAddressResolver(),
            rng=rng,
        )
        own_member = fleet.Member(
            host_settings.host,
            host_settings.zone,
            incarnation,
            capacity_per_s=capacity.estimate_capacity_per_s(host_settings),
        )
        self.membership = fleet.Membership(
            own_member, host_settings.zones, host_settings.seeds
        )
        self.replica = replica.Replica()
        self.replicator = replica.Replicator(
            self.replica,
            self.peers,
            lambda: self.membership.gossip_peers(model.now_ms()),
            self._apply_changes,
        )
        self._read_schedule = replica.ReadSchedule(
            model.now_ms(), host_settings.is_first_start
        )
        self.store_poller = replica.StorePoller(
            store_client,
            self.replica,
            self.replicator,
            self._read_schedule,
            self._rank_and_has_peers,
        )
        self.heartbeats = fleet.HeartbeatExchange(
            self.membership,
            self.peers,
            self._digest_and_state_age_ms,
            self._record_peer_state_age,
            self._handle_changed_membership,
        )
        stray_log = dispatch.StrayLog(
            http_conventions.request_id_header, self.metrics
        )
        self.target_links = dispatch.Links(
            _TARGET_IDLE_MS, host_settings.callers.ip_address, stray_log
        )
        self.peer_links = dispatch.Links(
            _PEER_IDLE_MS, host_settings.peers.ip_address, stray_log
        )
        self.open_requests = relay.OpenRequests()
        self._rate_limiter = quota.TeamRateLimiter(
            host_settings.is_first_start
        )
        target_limits = balance.TargetLimits(
            host_settings.zone, logevents.log_target_limit, rng
        )
        self._balancer = balance.Balancer(
            host_settings.zone,
            logevents.log_target_suspicion,
            rng,
            target_limits,
        )
        self._admission_control = relay.AdmissionControl(self._rate_limiter)
        self.slot_allocator = relay.SlotAllocator(self._balancer)
        retry_budgets = retry.ServiceRetryBudgets(
            host_settings.bounds.retry_ratio,
            host_settings.bounds.retry_slack,
            host_settings.is_first_start,
        )
        request_quarantine = quarantine.RequestQuarantine(
            logevents.log_quarantine
        )
        target_probe = relay.TcpTargetProbe(host_settings.callers.ip_address)
        self._path_monitor = relay.PathMonitor(
            self._handle_changed_path, lambda: self.path_watcher.wake()
        )
        path_probe = relay.PathProbe(target_probe, self.replica.targets, rng)
        self.path_watcher = relay.PathWatcher(
            self._path_monitor, path_probe, self.metrics
        )
        held_bytes = relay.HeldBytes(logevents.log_held_bytes)
        self._relay_endpoint = host_settings.relay
        target_client = relay.TargetClient(
            self.target_links,
            http_conventions,
            self._max_connections_per_target,
            self._handle_target_notice,
            target_probe,
            path_probe,
            held_bytes,
        )
        forwarder = relay.Forwarder(
            self.slot_allocator,
            self._balancer,
            target_client,
            retry_budgets,
            request_quarantine,
            self._path_monitor,
        )
        self._direct_forwarder = relay.DirectForwarder(
            forwarder,
            self._path_monitor,
            lambda: bool(self._find_relay_peers()),
        )
        self.app = relay.Application(
            http_conventions,
            self._admission_control,
            relay.RelayingForwarder(
                self._direct_forwarder,
                relay.PeerRelay(
                    self.peer_links,
                    http_conventions.between_hosts(),
                    self._find_relay_peers,
                    self._handle_target_notice,
                    held_bytes,
                ),
                self._path_monitor,
                retry_budgets,
            ),
            self.open_requests,
            self.metrics,
        )
        self.relay_app = relay.Application(
            http_conventions.between_hosts(),
            self._admission_control,
            relay.RelayedRequestForwarder(
                self._direct_forwarder, self._path_monitor
            ),
            self.open_requests,
            self.metrics,
        )
        self.fleet_sync = fleetsync.FleetSync(
            self.membership,
            self.peers,
            self._rate_limiter,
            retry_budgets,
            self._balancer,
            target_limits,
            quarantinereporter.QuarantineReporter(
                self.membership, self.peers, request_quarantine
            ),
            current_bounds,
        )
        self.open_requests.on_started = self.fleet_sync.wake
        self.metrics.register_gauge(
            "pomeloward_open_requests", lambda: self.open_requests.count
        )
        self.metrics.register_gauge(
            "pomeloward_waiting", self.slot_allocator.waiting_count
        )
        self.metrics.register_gauge(
            "pomeloward_held_response_bytes", lambda: held_bytes.byte_count
        )
        self.metrics.register_gauge(
            "pomeloward_limited_targets",
            lambda: target_limits.limited_count,
        )
        self.metrics.register_gauge(
            "pomeloward_target_path_lost",
            lambda: int(self._path_monitor.is_lost),
        )
        self.metrics.register_gauge(
            "pomeloward_quarantined_requests",
            lambda: request_quarantine.quarantined_count(model.now_ms()),
        )

    def caller_timeouts(self) -> entry.CallerTimes:
        """Return the current configuration's timeouts for callers.

        Without a configuration these are the defaults.
        """
        policy_index = self._admission_control.policy_index
        if policy_index is None:
            return entry.CallerTimes()
        limits = policy_index.policy.limits
        return entry.CallerTimes(
            idle_s=limits.idle_ms / 1_000, head_s=limits.head_ms / 1_000
        )

    def refuse_requests_beyond(self, exits_at_ms: float) -> None:
        """Refuse requests that may still run at that time."""
        self._admission_control.refuse_beyond(exits_at_ms)

    def _apply_changes(self, changes: tuple[replica.Change, ...]) -> None:
        """Apply changes of the replica to admission and load balancing."""
        now_ms = model.now_ms()
        for change in changes:
            if isinstance(change, replica.PolicyChange):
                self._apply_policy(change.policy, now_ms)
        self._balancer.update_targets(
            self.replica.targets(),
            self.replica.zones_out_of_service(),
            now_ms,
        )
        for change in changes:
            logevents.log_replica_change(change)

    def _apply_policy(self, policy: policies.Policy, now_ms: float) -> None:
        """Apply a policy unless the replica holds another one."""
        if self.replica.policy is not policy:
            return
        self._admission_control.policy_index = policies.PolicyIndex(policy)
        self._rate_limiter.update_teams(policy.teams, now_ms)
        self._balancer.update_services(policy.services)

    def _digest_and_state_age_ms(self, now_ms: float) -> tuple[int, int]:
        """Return the replica's digest and age, -1 for an unknown age.

        The age is the time since its state was read from the store.
        """
        age_ms = self._read_schedule.state_age_ms(now_ms)
        if self.replica.policy is None or age_ms is None:
            return self.replica.digest, -1
        return self.replica.digest, int(age_ms)

    def _record_peer_state_age(
        self, sender: model.HostId, heartbeat: fleet.Heartbeat, now_ms: float
    ) -> None:
        """Record how recently a peer in sync has read the store.

        A host whose state is as recent needs no read of its own.
        """
        if heartbeat.fresh_age_ms < 0:
            return
        read_at_ms = now_ms - heartbeat.fresh_age_ms
        if self.replicator.is_in_sync_with(sender, heartbeat.digest, now_ms):
            # The age of a different state says nothing about this one.
            self._read_schedule.record_state_read_at(read_at_ms)
        else:
            self._read_schedule.record_differing_state(read_at_ms)

    def _handle_target_notice(
        self, target_id: model.TargetId, notice: balance.TargetNotice
    ) -> None:
        """Apply what a target announced in an answer, and log it if new."""
        if self._balancer.record_notice(target_id, notice, model.now_ms()):
            logevents.log_target_notice(target_id, notice)

    def _handle_changed_membership(self) -> None:
        """Adapt to hosts that came, went, or lost their path to targets."""
        self.fleet_sync.wake()
        now_ms = model.now_ms()
        if self.membership.has_member_without_path(now_ms):
            self._path_monitor.request_check(now_ms)

    def _handle_changed_path(self, is_lost: bool) -> None:
        """Tell the fleet whether callers can be served through this host."""
        now_ms = model.now_ms()
        logevents.log_target_path(is_lost)
        self.heartbeats.set_target_path(not is_lost)
        if is_lost:
            self._direct_forwarder.interrupt_repeatable_requests()
            if self._find_relay_peers():
                self.slot_allocator.refuse_all()
        else:
            # What was found while the path was lost tells of the path.
            self._balancer.forget_suspicions(now_ms)

    def _find_relay_peers(self) -> list[relay.PeerEndpoint]:
        """Return where hosts with a path to targets take requests."""
        if self._relay_endpoint is None:
            return []
        port = self._relay_endpoint.port
        return [
            relay.PeerEndpoint(
                model.TargetId(member.host),
                f"http://{member.ip_address}:{port}",
            )
            for member in self.membership.relay_members(
                model.now_ms(), self._rng
            )
        ]

    def _rank_and_has_peers(self, now_ms: float) -> tuple[int, bool]:
        """Return this host's rank in its zone and whether it hears others."""
        return (
            self.membership.own_rank(now_ms),
            self.membership.has_live_peers(now_ms),
        )

    def _max_connections_per_target(self, service_id: model.ServiceId) -> int:
        """Return how many connections this host may open to each target."""
        policy_index = self._admission_control.policy_index
        if policy_index is None:
            return _MIN_CONNECTIONS_PER_TARGET
        target_limit = policy_index.service_or_default(
            service_id
        ).connections_per_target
        part_count = _CONNECTION_PARTS_PER_ZONE * self.membership.zone_count
        return max(_MIN_CONNECTIONS_PER_TARGET, target_limit // part_count)
