"""Chooses one of the targets that have room."""

import collections.abc
import enum

from pomeloward import model
from pomeloward.balance import health as healths
from pomeloward.balance import record as records

# A run under way, or one that takes twice its usual time, weighs as much as
# this time since the last good answer.
_RUN_WEIGHT_MS = 1_000.0
_MOST_STALE_MS = 3_000.0
# A target that got nothing for this long is tried by a request that can be
# repeated: silence of an idle target shows only so.
_IDLE_MS = 1_000.0

Records = collections.abc.Sequence[records.Record]


class Trials(enum.Enum):
    """Which targets a request may try besides sound ones."""

    NONE = "none"
    LAST_RESORT = "last_resort"
    ANY = "any"


def choose(
    usable: Records,
    free: Records,
    zone: model.ZoneId,
    trials: Trials,
    now_ms: float,
) -> tuple[records.Record | None, str]:
    """Return a target with room and why it was chosen.

    ``free`` are those of ``usable`` that have room. While any usable target
    is sound, requests wait for a slot of a sound one instead of going to a
    doubtful one; sound ones of ``zone`` come first.
    """
    if not free:
        return None, ""
    is_sound = any(not one.is_doubtful(now_ms) for one in usable)
    if not is_sound:
        return min(free, key=lambda one: _score(one, now_ms)), "doubtful"
    trial = _trial(free, zone, trials, now_ms)
    if trial is not None:
        return trial, "trial"
    sound = [one for one in free if not one.is_doubtful(now_ms)]
    near = [one for one in sound if one.target.zone == zone]
    best = min(
        near or sound, key=lambda one: _score(one, now_ms), default=None
    )
    return best, "near" if near else "far"


def _trial(
    free: Records, zone: model.ZoneId, trials: Trials, now_ms: float
) -> records.Record | None:
    """Return a near target that is worth a trial now."""
    due = [
        one
        for one in free
        if one.target.zone == zone
        and _is_trial_due(one.health, trials, now_ms)
    ]
    return min(due, key=lambda one: one.health.used_ms, default=None)


def _is_trial_due(
    health: healths.Health, trials: Trials, now_ms: float
) -> bool:
    if trials is Trials.NONE:
        return False
    if trials is Trials.LAST_RESORT:
        return health.is_suspected and health.is_last_resort(now_ms)
    is_idle = now_ms - health.used_ms >= _IDLE_MS
    return health.is_trial_due(now_ms) and (health.is_suspected or is_idle)


def _score(one: records.Record, now_ms: float) -> float:
    """Return how unsuitable a target is."""
    health = one.health
    stale_ms = min(_MOST_STALE_MS, now_ms - health.proven_ms)
    load = len(health.runs) + health.lateness_ratio(now_ms)
    return stale_ms + _RUN_WEIGHT_MS * load
