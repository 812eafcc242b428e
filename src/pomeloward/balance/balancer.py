"""Selects the target of each attempt."""

import collections.abc
import math
import random

from pomeloward import model
from pomeloward import policy as policies
from pomeloward import replica
from pomeloward.balance import attempt as attempts
from pomeloward.balance import latency
from pomeloward.balance import outcome as outcomes
from pomeloward.balance import ratelimiter
from pomeloward.balance import selection
from pomeloward.balance import targethealth
from pomeloward.balance import targetlimits
from pomeloward.balance import targetnotices
from pomeloward.balance import targetstate

# Slots of a target in another zone that are left to the hosts of that zone.
_RESERVED_REMOTE_SLOTS = 1
# Above this ratio of a zone's slots in use, backup attempts take slots that
# requests which can't be repeated would wait for.
_BACKUP_MAX_USED_RATIO = 0.5
# Smoothing of the mean time that requests for a service use a slot.
_MEAN_RUN_GAIN = 0.05

# Interval of reports of unhealthy targets to hosts of other zones.
HEALTH_REPORT_INTERVAL_MS = 450.0
# A report stays valid when the next two are lost.
_REPORT_LIFETIME_MS = 3 * HEALTH_REPORT_INTERVAL_MS

OnSuspicionChange = collections.abc.Callable[[replica.Target, str, bool], None]


class Balancer:
    """Balances the requests for all services over their targets.

    Requests stay in the host's availability zone while a target there has a
    free slot. Repeatable requests are also sent as trials to suspected and
    idle targets; other requests prefer targets that have just answered. A
    target in another zone is unhealthy here too while hosts of its zone
    report that. A cold target, such as one that has just restarted, gets
    requests at a limited rate, and only from hosts of its zone.

    Example::

        attempt = balancer.start_attempt(
            service_id, route, set(), True, now_ms
        )
        balancer.end_attempt(attempt, Outcome.OK, now_ms, route)
    """

    def __init__(
        self,
        zone: model.ZoneId,
        on_suspicion_change: OnSuspicionChange,
        rng: random.Random,
        target_limits: targetlimits.TargetLimits,
    ) -> None:
        """Create a balancer without targets for a host in ``zone``.

        ``on_suspicion_change`` is called with a target, the reason, and
        whether the target is suspected now. ``target_limits`` are the rate
        limits that targets name.
        """
        self._zone = zone
        self._rng = rng
        self._on_suspicion_change = on_suspicion_change
        self._target_limits = target_limits
        self._target_states: dict[
            model.ServiceId, dict[model.TargetId, targetstate.TargetState]
        ] = {}
        self._services: dict[model.ServiceId, policies.Service] = {}
        self._latency_estimators: dict[
            model.RouteId, latency.LatencyEstimator
        ] = {}
        self._mean_run_ms: dict[model.ServiceId, float] = {}
        self._notices = targetnotices.TargetNotices()
        self._is_active = True
        self._zone_host_count = 1
        # Zones without hosts, whose cold targets get requests from this host.
        self._adopted_zones = frozenset[model.ZoneId]()

    def update_targets(
        self,
        targets: collections.abc.Iterable[replica.Target],
        zones_out_of_service: collections.abc.Container[model.ZoneId],
        now_ms: float,
    ) -> None:
        """Replace the registered targets and the zones out of service."""
        states: dict[
            model.ServiceId, dict[model.TargetId, targetstate.TargetState]
        ] = {}
        for target in targets:
            state = self._target_states.get(target.service, {}).get(target.id)
            if state is None or target.has_restarted_since(state.target):
                state = targetstate.TargetState(
                    target,
                    targethealth.TargetHealth(now_ms),
                    ratelimiter.RateLimiter(),
                )
            state.target = target
            is_out_of_service = target.zone in zones_out_of_service
            if state.is_zone_out_of_service and not is_out_of_service:
                state.health.assume_cold(now_ms)
            state.is_zone_out_of_service = is_out_of_service
            states.setdefault(target.service, {})[target.id] = state
        self._target_states = states
        self._target_limits.update_targets(
            state.target
            for service_states in states.values()
            for state in service_states.values()
        )

    def update_services(
        self, services: collections.abc.Iterable[policies.Service]
    ) -> None:
        """Replace the settings of the services."""
        self._services = {service.id: service for service in services}

    def update_active_hosts(
        self,
        is_active: bool,
        zone_host_count: int,
        adopted_zones: frozenset[model.ZoneId],
    ) -> None:
        """Update which hosts share the targets with this one.

        ``is_active`` tells whether callers are sent to this host, and
        ``zone_host_count`` to how many hosts of its zone. ``adopted_zones``
        are zones without hosts for whose cold targets this host is
        responsible. An inactive host sends no trial requests: it gets so few
        requests that each trial would need a new connection.
        """
        self._is_active = is_active
        self._zone_host_count = max(1, zone_host_count)
        self._adopted_zones = adopted_zones

    def latency_estimator(
        self, route: policies.Route
    ) -> latency.LatencyEstimator:
        """Return the latency estimator of a route."""
        estimator = self._latency_estimators.get(route.id)
        if estimator is None:
            estimator = latency.LatencyEstimator(route.aim_ms)
            self._latency_estimators[route.id] = estimator
        return estimator

    def usable_slots(self, service_id: model.ServiceId, now_ms: float) -> int:
        """Return how many slots serve this host's waiting requests.

        These are its share of the slots of healthy targets in its zone, and
        the slots that it uses at healthy targets of other zones, whose own
        hosts may need the rest. A target that limits its rate has as many as
        that rate keeps in use. If all targets are unhealthy the number is
        1, without targets that want requests it is 0.
        """
        eligible = [
            state
            for state in self._eligible(service_id)
            if not self._notices.pause_ms(state.target, now_ms)
        ]
        slots = 0.0
        for state in eligible:
            if state.is_unhealthy(now_ms):
                continue
            is_local = state.target.zone == self._zone
            used_slots = len(state.health.open_attempts)
            target_slots = (
                self._slot_share(state.target) if is_local else used_slots
            )
            slots += min(target_slots, self._slots_at_limit(state.target))
        return max(math.ceil(slots), min(1, len(eligible)))

    def has_target_besides(
        self,
        service_id: model.ServiceId,
        excluded_ids: collections.abc.Container[model.TargetId],
    ) -> bool:
        """Tell whether any other target may get requests, now or later."""
        return any(
            state.target.id not in excluded_ids
            for state in self._eligible(service_id)
        )

    def pause_ms(
        self,
        service_id: model.ServiceId,
        excluded_ids: collections.abc.Container[model.TargetId],
        now_ms: float,
    ) -> float:
        """Return how long no other target wants any request.

        That is 0 while one doesn't pause, and without any target.
        """
        return min(
            (
                self._notices.pause_ms(state.target, now_ms)
                for state in self._eligible(service_id)
                if state.target.id not in excluded_ids
            ),
            default=0.0,
        )

    def record_notice(
        self,
        target_id: model.TargetId,
        notice: targetnotices.TargetNotice,
        now_ms: float,
    ) -> bool:
        """Keep to what a target announced; return whether it is new.

        The result doesn't tell of rate limits, which are reported apart.
        """
        if notice.tells_rate_limit:
            self._target_limits.record_answer(
                target_id, notice.rate_limit_per_s, now_ms
            )
        return any(
            self._notices.record(states[target_id].target, notice, now_ms)
            for states in self._target_states.values()
            if target_id in states
        )

    def _eligible(
        self, service_id: model.ServiceId
    ) -> list[targetstate.TargetState]:
        """Return the targets of a service that may get requests at all."""
        return [
            state
            for state in self._target_states.get(service_id, {}).values()
            if state.is_eligible and not self._notices.is_leaving(state.target)
        ]

    def has_spare_capacity(self, service_id: model.ServiceId) -> bool:
        """Tell whether this zone's targets have room for backup attempts.

        An inactive host has none: its requests would need new connections.
        Targets that limit their rate have none either.
        """
        local = [
            state
            for state in self._eligible(service_id)
            if state.target.zone == self._zone
            and self._target_limits.share_per_s(state.target.id) is None
        ]
        slots = sum(state.target.slots for state in local)
        used_slots = sum(len(state.health.open_attempts) for state in local)
        return self._is_active and used_slots <= slots * _BACKUP_MAX_USED_RATIO

    def find_target(
        self, service_id: model.ServiceId, target_id: model.TargetId
    ) -> replica.Target | None:
        """Return a registered target, or None if it is unknown."""
        state = self._target_states.get(service_id, {}).get(target_id)
        return state.target if state is not None else None

    def unhealthy_targets(self, now_ms: float) -> tuple[model.TargetId, ...]:
        """Return the targets in this zone that this host finds unhealthy."""
        return tuple(
            state.target.id
            for service_states in self._target_states.values()
            for state in service_states.values()
            if state.target.zone == self._zone
            and state.health.is_unhealthy(now_ms)
        )

    def apply_health_report(
        self,
        reporter_zone: model.ZoneId,
        reported_ids: collections.abc.Collection[model.TargetId],
        now_ms: float,
    ) -> None:
        """Mark the targets that a host of another zone reports as unhealthy.

        A report counts only for targets in the reporter's zone, whose hosts
        send most of the requests to them. A host that is cut off from this
        zone would find all targets here unhealthy.
        """
        if reporter_zone == self._zone:
            return
        for service_states in self._target_states.values():
            for state in service_states.values():
                if (
                    state.target.zone == reporter_zone
                    and state.target.id in reported_ids
                ):
                    state.reported_until_ms = now_ms + _REPORT_LIFETIME_MS

    def start_attempt(
        self,
        service_id: model.ServiceId,
        route: policies.Route,
        excluded_ids: collections.abc.Container[model.TargetId],
        is_repeatable: bool,
        now_ms: float,
    ) -> attempts.Attempt | None:
        """Take a slot of a target for a request, or return None without one.

        ``is_repeatable`` tells that the request may be sent to another
        target if this one is silent.
        """
        eligible = [
            state
            for state in self._eligible(service_id)
            if state.target.id not in excluded_ids
            and not self._notices.pause_ms(state.target, now_ms)
        ]
        available = [
            state for state in eligible if self._has_room(state, now_ms)
        ]
        # Hosts and requests choose differently among equal targets.
        self._rng.shuffle(available)
        selected, reason = selection.select_target(
            eligible,
            available,
            self._zone,
            self._trial_policy(is_repeatable),
            now_ms,
        )
        if selected is None:
            return None
        estimator = self.latency_estimator(route)
        attempt = attempts.Attempt(
            service_id,
            selected.target.id,
            route.id,
            now_ms,
            estimator.mean_ms,
            now_ms + estimator.silence_threshold_ms,
            reason,
        )
        selected.health.start_attempt(attempt, now_ms)
        selected.rate_limiter.record_start(now_ms)
        self._target_limits.record_start(selected.target.id, now_ms)
        return attempt

    def end_attempt(
        self,
        attempt: attempts.Attempt,
        outcome: outcomes.Outcome,
        now_ms: float,
        route: policies.Route,
    ) -> None:
        """Release the slot of an attempt and update latency and health."""
        if outcome is outcomes.Outcome.OK:
            took_ms = now_ms - attempt.started_at_ms
            self.latency_estimator(route).add_sample(took_ms)
            mean_ms = self._mean_run_ms.get(attempt.service_id, took_ms)
            self._mean_run_ms[attempt.service_id] = (
                mean_ms + (took_ms - mean_ms) * _MEAN_RUN_GAIN
            )
        state = self._target_states.get(attempt.service_id, {}).get(
            attempt.target_id
        )
        if state is None:
            return
        if outcome is outcomes.Outcome.MISPLACED:
            state.is_misplaced = True
        was_suspected = state.health.is_suspected
        state.health.end_attempt(attempt, outcome, now_ms)
        if state.health.is_suspected != was_suspected:
            self._on_suspicion_change(
                state.target,
                state.health.suspicion_reason,
                state.health.is_suspected,
            )

    def forget_suspicions(self, now_ms: float) -> None:
        """Trust all targets again, for example after a fault of this host.

        Targets that are still at fault are suspected anew by attempts.
        """
        for service_states in self._target_states.values():
            for state in service_states.values():
                if state.health.is_suspected:
                    state.health.end_suspicion()
                    self._on_suspicion_change(state.target, "", False)

    def _trial_policy(self, is_repeatable: bool) -> selection.TrialPolicy:
        if not self._is_active:
            return selection.TrialPolicy.NONE
        return (
            selection.TrialPolicy.ANY
            if is_repeatable
            else selection.TrialPolicy.LAST_RESORT
        )

    def _has_room(self, state: targetstate.TargetState, now_ms: float) -> bool:
        """Tell whether this host may start an attempt at a target now."""
        target, health = state.target, state.health
        if now_ms < health.paused_until_ms:
            return False
        is_local = target.zone == self._zone
        if is_local:
            slot_limit = self._slot_share(target)
        else:
            slot_limit = max(1, target.slots - _RESERVED_REMOTE_SLOTS)
        if len(health.open_attempts) >= slot_limit:
            return False
        if not self._target_limits.allows_start(target.id, now_ms):
            return False
        if not target.is_cold and not health.may_be_cold(now_ms):
            return True
        service = self._services.get(target.service)
        limit_per_s = service.cold_per_s if service is not None else 0.0
        if limit_per_s <= 0:
            return True
        is_responsible = is_local or target.zone in self._adopted_zones
        if not self._is_active or not is_responsible:
            return False
        return state.rate_limiter.allows(
            limit_per_s / self._zone_host_count, now_ms
        )

    def _slot_share(self, target: replica.Target) -> int:
        """Return this host's share of the slots of a target in its zone."""
        return math.ceil(target.slots / self._zone_host_count)

    def _slots_at_limit(self, target: replica.Target) -> float:
        """Return how many slots this host's share of a rate limit uses."""
        share_per_s = self._target_limits.share_per_s(target.id)
        mean_run_ms = self._mean_run_ms.get(target.service)
        if share_per_s is None or mean_run_ms is None:
            return math.inf
        return share_per_s * mean_run_ms / 1_000
