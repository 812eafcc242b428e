"""Life of one target at its controller."""

import random

from pomeloward import catalog
from pomeloward import model
from pomeloward.service import messages
from pomeloward.service import suspicion
from pomeloward.service import targetstate
from pomeloward.service import tuning as tuning_
from pomeloward.service import window

_STATE = targetstate.TargetState


class TargetRecord:
    """State, slow start and ejections of one target.

    A cold target may have 1 slot in use, and twice as many after each
    interval of healthy answers. An ejected one waits for its backoff, gets
    a trial with 1 slot, and then starts cold.
    """

    def __init__(
        self, target: catalog.Target, slots: int, tuning: tuning_.Tuning
    ) -> None:
        self.id = target.id
        self.target = target
        self.slots = slots
        self.state = _STATE.UNKNOWN
        self.level = 1
        # Slots that hosts brought along from the predecessor's loans.
        self.adopted = 0
        self.ejections = 0
        self.until_ms = 0.0
        self.window = window.Window(tuning.evaluate_ms, max(tuning.windows_ms))
        self.suspicion = suspicion.Suspicion(tuning)
        self._tuning = tuning
        self._entered_ms = 0.0
        self._interval_ms = 0.0
        self._since = window.Sums()

    @property
    def is_serving(self) -> bool:
        """Whether the target gets any requests of callers."""
        return self.state in (_STATE.WARM, _STATE.COLD, _STATE.TRIAL)

    def cap(self) -> int:
        """Return how many slots may be in use over all hosts."""
        if self.state is _STATE.WARM:
            return self.slots
        if self.state is _STATE.UNKNOWN:
            return min(self.adopted, self.slots)
        if not self.is_serving:
            return 0
        return 1 if self.state is _STATE.TRIAL else min(self.level, self.slots)

    def change(self, state: targetstate.TargetState, now_ms: float) -> None:
        """Enter a state."""
        self.state = state
        self._entered_ms = now_ms
        self.level = 1
        self._restart(now_ms)

    def fall(self, now_ms: float) -> None:
        """Begin slow start again after a silent fall from warm to cold."""
        self.change(_STATE.COLD, now_ms)
        self.window.clear()

    def eject(self, now_ms: float, rng: random.Random) -> None:
        """Take the target out for a backoff with jitter."""
        tuning = self._tuning
        if now_ms - self._entered_ms > tuning.forgive_ms:
            self.ejections = 0
        backoff_ms = min(
            tuning.max_backoff_ms, tuning.backoff_ms * 2**self.ejections
        )
        self.ejections = min(self.ejections + 1, 16)
        self.change(_STATE.EJECTED, now_ms)
        self.until_ms = now_ms + backoff_ms * (
            1 + model.MAX_DRIFT_RATIO + rng.random() * tuning.jitter_ratio
        )

    def start_trial(self, now_ms: float) -> None:
        """Let one request at a time show whether the target recovered."""
        self.change(_STATE.TRIAL, now_ms)
        self.window.clear()

    def observe(
        self, host: model.HostId, evidence: messages.Evidence, now_ms: float
    ) -> None:
        """Take the evidence of one report.

        An interval of slow start begins with its first answers, since an
        idle target does not warm up.
        """
        self.window.add(host, evidence, now_ms)
        if not self._since.count:
            self._interval_ms = now_ms
        self._since.count += evidence.count
        self._since.errors += evidence.errors + evidence.connect_failures
        self._since.sheds += evidence.sheds

    def ramp(self, excess: float, now_ms: float) -> None:
        """Advance slow start at the end of an interval.

        ``excess`` is by how many nats the target is slower than usual. An
        interval with errors, sheds or slow answers is repeated, and the
        level falls back to 1 when the target sheds load.
        """
        since = self._since
        if since.sheds and self.level > 1:
            self.level = 1
            self._restart(now_ms)
            return
        length_ms = self._tuning.ramp_ms * (1 + model.MAX_DRIFT_RATIO)
        if now_ms - self._interval_ms < length_ms or since.count < self.level:
            return
        is_slow = excess >= self._tuning.fall_nats
        is_healthy = not (is_slow or since.errors or since.sheds)
        self._restart(now_ms)
        if not is_healthy:
            return
        self.level *= 2
        if self.level >= self.slots:
            self.change(_STATE.WARM, now_ms)

    def trial_result(
        self, reference: float | None, now_ms: float
    ) -> bool | None:
        """Return whether the trial passed, or None while it is open.

        ``reference`` is the usual mean log latency of the service's targets.
        """
        tuning = self._tuning
        sums = self.window.sums(max(tuning.windows_ms), now_ms)
        if self._since.errors + self._since.sheds >= 2:
            return False
        if reference is not None and sums.samples >= 3:
            excess = sums.nats / sums.samples - reference
            if excess >= tuning.min_nats:
                return False
        if self._since.count >= tuning.trial_count:
            return True
        return None

    def _restart(self, now_ms: float) -> None:
        self._interval_ms = now_ms
        self._since = window.Sums()
