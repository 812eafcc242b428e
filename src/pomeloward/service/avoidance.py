"""Targets that a host avoids by its own judgement."""

import collections.abc
import dataclasses
import random

from pomeloward import model
from pomeloward.service import outcome as outcome_

_OUTCOME = outcome_.Outcome

_FIRST_BACKOFF_MS = 1_000.0
_MAX_BACKOFF_MS = 30_000.0
_JITTER_RATIO = 0.2
# Errors in a row before a target is avoided; one failed connect suffices.
_MAX_ERRORS = 4


@dataclasses.dataclass(slots=True)
class _Trouble:
    errors: int = 0
    backoff_ms: float = 0.0
    until_ms: float = 0.0


class Avoidance:
    """Backs off from targets that this host cannot use.

    The controller lends the budget of slots that may be avoided and leaves
    room for it above the floor. When the budget shrinks, the avoidances that
    would end first are dropped.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._troubles: dict[model.TargetId, _Trouble] = {}

    def note(
        self,
        target: model.TargetId,
        outcome: outcome_.Outcome,
        now_ms: float,
    ) -> None:
        """Take the end of a request."""
        if outcome in (_OUTCOME.OK, _OUTCOME.SHED):
            self._troubles.pop(target, None)
            return
        if outcome is _OUTCOME.CANCELLED:
            return
        trouble = self._troubles.setdefault(target, _Trouble())
        trouble.errors += 1
        is_enough = trouble.errors >= _MAX_ERRORS
        if is_enough or outcome is _OUTCOME.CONNECT_FAILED:
            trouble.backoff_ms = min(
                max(_FIRST_BACKOFF_MS, 2 * trouble.backoff_ms),
                _MAX_BACKOFF_MS,
            )
            jitter = 1 + _JITTER_RATIO * self._rng.random()
            trouble.until_ms = now_ms + trouble.backoff_ms * jitter

    def active(
        self,
        slots: collections.abc.Mapping[model.TargetId, int],
        budget: int,
        now_ms: float,
    ) -> frozenset[model.TargetId]:
        """Return the avoided targets, at most ``budget`` slots in all."""
        if not self._troubles:
            return frozenset()
        avoided = [
            (trouble.until_ms, target)
            for target, trouble in self._troubles.items()
            if now_ms < trouble.until_ms and target in slots
        ]
        chosen = []
        for _, target in sorted(avoided, reverse=True):
            if slots[target] <= budget:
                budget -= slots[target]
                chosen.append(target)
        return frozenset(chosen)
