"""Selects one of the targets that have room."""

import collections.abc
import enum

from pomeloward import model
from pomeloward.balance import targethealth
from pomeloward.balance import targetstate

# An open attempt, or one that takes twice its expected time, weighs as much
# as this time since the last good answer.
_ATTEMPT_WEIGHT_MS = 1_000.0
_MAX_SUCCESS_AGE_MS = 3_000.0
# A target without requests for this long gets a repeatable one as a trial:
# nothing else shows that an idle target hangs.
_IDLE_MS = 1_000.0

TargetStates = collections.abc.Sequence[targetstate.TargetState]


class TrialPolicy(enum.Enum):
    """Which targets a request may be sent to as a trial.

    ``LAST_RESORT`` allows suspected targets that have had no requests for
    a long time, ``ANY`` all suspected and idle targets.
    """

    NONE = "none"
    LAST_RESORT = "last_resort"
    ANY = "any"


def select_target(
    eligible: TargetStates,
    available: TargetStates,
    zone: model.ZoneId,
    trial_policy: TrialPolicy,
    now_ms: float,
) -> tuple[targetstate.TargetState | None, str]:
    """Return a target with room and the reason of the selection.

    ``available`` are those of ``eligible`` that have room. While any
    eligible target is healthy, requests wait for a slot of a healthy target
    instead of going to an unhealthy one. Healthy targets in ``zone`` are
    preferred.

    The reason is "near" or "far" for a healthy target inside or outside
    ``zone``, "trial", or "doubtful" when no eligible target is healthy.
    """
    if not available:
        return None, ""
    is_any_healthy = any(not state.is_unhealthy(now_ms) for state in eligible)
    if not is_any_healthy:
        return min(
            available, key=lambda state: _cost_ms(state, now_ms)
        ), "doubtful"
    trial = _select_trial_target(available, zone, trial_policy, now_ms)
    if trial is not None:
        return trial, "trial"
    healthy = [state for state in available if not state.is_unhealthy(now_ms)]
    local = [state for state in healthy if state.target.zone == zone]
    best = min(
        local or healthy,
        key=lambda state: _cost_ms(state, now_ms),
        default=None,
    )
    return best, "near" if local else "far"


def _select_trial_target(
    available: TargetStates,
    zone: model.ZoneId,
    trial_policy: TrialPolicy,
    now_ms: float,
) -> targetstate.TargetState | None:
    """Return the least recently used target in ``zone`` due for a trial."""
    due = [
        state
        for state in available
        if state.target.zone == zone
        and _is_trial_due(state.health, trial_policy, now_ms)
    ]
    return min(
        due, key=lambda state: state.health.last_start_at_ms, default=None
    )


def _is_trial_due(
    health: targethealth.TargetHealth,
    trial_policy: TrialPolicy,
    now_ms: float,
) -> bool:
    if trial_policy is TrialPolicy.NONE:
        return False
    if trial_policy is TrialPolicy.LAST_RESORT:
        return health.is_suspected and health.is_last_resort_trial_due(now_ms)
    is_idle = now_ms - health.last_start_at_ms >= _IDLE_MS
    return health.is_trial_due(now_ms) and (health.is_suspected or is_idle)


def _cost_ms(state: targetstate.TargetState, now_ms: float) -> float:
    """Return the cost of a target; the one with the least is selected."""
    health = state.health
    success_age_ms = min(
        _MAX_SUCCESS_AGE_MS, now_ms - health.last_success_at_ms
    )
    load = len(health.open_attempts) + health.lateness_ratio(now_ms)
    return (
        success_age_ms
        + health.error_penalty_ms(now_ms)
        + _ATTEMPT_WEIGHT_MS * load
    )
