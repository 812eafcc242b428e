"""Chooses the targets that hosts should probe."""

import collections.abc

from pomeloward import model
from pomeloward.service import targetrecord
from pomeloward.service import targetstate
from pomeloward.service import tuning as tuning_

_STATE = targetstate.TargetState

# A target without any evidence for this long counts as idle.
_IDLE_MS = 10_000.0
# A probe costs a host and the target about 25 ms.
_PROBE_GAP_MS = 1_000.0
# Targets are looked through this often, not at every report.
_CHOOSE_GAP_MS = 100.0


class Probing:
    """Hands out probes of idle and ejected targets, one host at a time.

    A probe only tells whether a connect works. A health endpoint may
    mislead, so a probe never ends an ejection, it only prolongs it, and its
    failure ejects only when two hosts report it.
    """

    def __init__(self, tuning: tuning_.Tuning) -> None:
        self._tuning = tuning
        self._seen_ms: dict[model.TargetId, float] = {}
        self._chosen_ms = float("-inf")
        self._probed_ms: dict[model.TargetId, float] = {}

    def note(self, target: model.TargetId, now_ms: float) -> None:
        """Note that there was evidence of a target."""
        self._seen_ms[target] = now_ms

    def choose(
        self,
        records: collections.abc.Iterable[targetrecord.TargetRecord],
        now_ms: float,
    ) -> tuple[int, ...]:
        """Return the indexes of the targets that one host should probe."""
        if now_ms - self._chosen_ms < _CHOOSE_GAP_MS:
            return ()
        self._chosen_ms = now_ms
        chosen = []
        for index, record in enumerate(records):
            if record.state is _STATE.EJECTED:
                span_ms = max(self._tuning.windows_ms)
                is_due = now_ms >= record.until_ms - span_ms
            elif record.state is _STATE.WARM:
                seen_ms = self._seen_ms.setdefault(record.id, now_ms)
                is_due = now_ms - seen_ms >= _IDLE_MS
            else:
                continue
            probed_ms = self._probed_ms.get(record.id, float("-inf"))
            if is_due and now_ms - probed_ms >= _PROBE_GAP_MS:
                self._probed_ms[record.id] = now_ms
                chosen.append(index)
        return tuple(chosen)
