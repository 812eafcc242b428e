"""The usual latency of a route."""

# Smoothing of mean and deviation, after V. Jacobson, "Congestion Avoidance
# and Control" (1988).
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
# Deviations above the mean that count as silence. The mean deviation is
# four fifths of the standard one; 3 leaves a few in a hundred above, which
# only keep new requests away until they are answered.
_DEVIATIONS = 3.0
# Before the first answers, part of the objective that counts as silence.
_FIRST_RATIO = 0.8
# Below this time a late answer can't be told from a busy host.
_LEAST_MS = 60.0
# Above this part of the objective a second attempt comes too late.
_MOST_RATIO = 1.2
# Part of the objective that a host may use: a caller 8 ms away that looks
# up an address and connects spends about 65 of 400 ms before the host sees
# its request.
_HOST_RATIO = 0.85


class Latency:
    """Mean and deviation of the answers of one route."""

    def __init__(self, aim_ms: float) -> None:
        self._aim_ms = aim_ms
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    @property
    def mean_ms(self) -> float:
        """The usual time to an answer."""
        return self._aim_ms / 3 if self._mean_ms is None else self._mean_ms

    @property
    def silence_ms(self) -> float:
        """The time after which an answer is unusually late."""
        if self._mean_ms is None:
            return self._aim_ms * _FIRST_RATIO
        late_ms = self._mean_ms + _DEVIATIONS * self._deviation_ms
        return min(max(_LEAST_MS, late_ms), self._aim_ms * _MOST_RATIO)

    @property
    def backup_ms(self) -> float:
        """The time after which a second attempt can still meet the aim.

        Never earlier than most answers come, so that few requests are sent
        twice, and never later than ``silence_ms``.
        """
        if self._mean_ms is None:
            return self.silence_ms
        usual_ms = self._mean_ms + self._deviation_ms
        latest_ms = self._aim_ms * _HOST_RATIO - usual_ms
        return min(self.silence_ms, max(usual_ms, latest_ms))

    def observe(self, latency_ms: float) -> None:
        """Take the latency of an answer."""
        if self._mean_ms is None:
            self._mean_ms = latency_ms
            self._deviation_ms = latency_ms / 2
            return
        error_ms = latency_ms - self._mean_ms
        self._mean_ms += error_ms * _MEAN_GAIN
        self._deviation_ms += _DEVIATION_GAIN * (
            abs(error_ms) - self._deviation_ms
        )
