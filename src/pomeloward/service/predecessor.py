"""What a new controller may assume about its predecessor's loans."""

import collections.abc

from pomeloward import model
from pomeloward.service import targetrecord
from pomeloward.service import targetstate
from pomeloward.service import tuning as tuning_

_STATE = targetstate.TargetState
_Records = collections.abc.Sequence[targetrecord.TargetRecord]


class Predecessor:
    """Decides when a new controller may lend slots of its own.

    A slot is like a token that is in one place: a host that joins brings its
    slots along, and what it returns may be lent again, so that no target has
    more in use than the predecessor lent. A target that a host lately saw
    warm, under the configuration in force, bears all its slots; a changed
    configuration may have let the target restart since. For every other
    target the controller waits until the predecessor's loans and the
    requests under them have ended, or until every host has joined and thus
    accounts for all slots.
    """

    def __init__(
        self,
        tuning: tuning_.Tuning,
        hosts: collections.abc.Iterable[model.HostId],
        now_ms: float,
    ) -> None:
        self._tuning = tuning
        self._missing = set(hosts)
        self._end_ms = (
            now_ms
            + tuning.loan_wait_ms
            + (tuning.hold_ms * (1 + model.MAX_DRIFT_RATIO))
        )

    def is_over(self, now_ms: float) -> bool:
        """Tell whether no slot of the predecessor can be in use unseen."""
        return not self._missing or now_ms >= self._end_ms

    def settle(self, records: _Records, now_ms: float) -> None:
        """Start the targets cold that nobody knew, once that is safe."""
        for record in records:
            if record.state is _STATE.UNKNOWN:
                level = max(1, record.adopted)
                record.fall(now_ms)
                record.level = level

    def join(
        self,
        host: model.HostId,
        records: _Records,
        states: bytes,
        age_ms: float,
        now_ms: float,
    ) -> list[targetrecord.TargetRecord]:
        """Take what a joining host knows; return targets seen ejected.

        Only a recent sight of a warm target raises anything; a cold one
        corrects another host's older sight of it as warm.
        """
        self._missing.discard(host)
        limit_ms = self._tuning.hint_ms * (1 - model.MAX_DRIFT_RATIO)
        is_recent = age_ms < limit_ms and len(states) == len(records)
        ejected = []
        for record, byte in zip(records, states, strict=False):
            if not is_recent:
                break
            if byte == _STATE.WARM and record.state is _STATE.UNKNOWN:
                record.change(_STATE.WARM, now_ms)
            elif byte in (_STATE.COLD, _STATE.TRIAL):
                if record.state is _STATE.WARM:
                    record.fall(now_ms)
            elif byte == _STATE.EJECTED and record.state in (
                _STATE.WARM,
                _STATE.UNKNOWN,
            ):
                ejected.append(record)
        return ejected
