"""A preference against targets with one bad sign, before any ejection."""

from pomeloward.service import tuning as tuning_
from pomeloward.service import window


class Suspicion:
    """Marks a target that had a strongly slow answer or an error lately.

    At one request/s a target, the samples for an ejection take longer than
    the 3 s in which a gray target should get no new work. A suspected target
    is chosen last and so gets none while others have free slots; it still
    counts as capacity, and ejection keeps its own evidence. Each new sign
    after a mark has ended doubles the next one.
    """

    def __init__(self, tuning: tuning_.Tuning) -> None:
        self._tuning = tuning
        self._until_ms = float("-inf")
        self._length_ms = tuning.suspect_ms

    def is_active(self, now_ms: float) -> bool:
        """Tell whether other targets go first."""
        return now_ms < self._until_ms

    def update(
        self, sums: window.Sums, reference: float | None, now_ms: float
    ) -> None:
        """Judge the last interval; ``reference`` is in nats, or unknown."""
        if self.is_active(now_ms) or not self._is_bad(sums, reference or 0.0):
            return
        is_repeated = now_ms - self._until_ms < self._tuning.forgive_ms
        longer_ms = min(self._length_ms * 2, self._tuning.max_suspect_ms)
        self._length_ms = longer_ms if is_repeated else self._tuning.suspect_ms
        self._until_ms = now_ms + self._length_ms

    def _is_bad(self, sums: window.Sums, reference: float) -> bool:
        if sums.errors >= self._tuning.suspect_error_ratio * max(
            1, sums.count
        ):
            return True
        if not sums.samples:
            return False
        excess = sums.nats / sums.samples - reference
        return excess >= self._tuning.suspect_nats
