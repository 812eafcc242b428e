"""Latency estimates of routes."""

# Smoothing of mean and deviation, after V. Jacobson, "Congestion Avoidance
# and Control" (1988).
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
# Mean deviations above the mean after which an attempt counts as silent. The
# mean deviation is four fifths of the standard deviation; with 3, a few
# attempts in a hundred exceed the threshold, which only keeps new requests
# away from their targets until they are answered.
_SILENCE_DEVIATIONS = 3.0
# Silence threshold before the first answers, as a ratio of the objective.
_INITIAL_SILENCE_RATIO = 0.8
# Below this latency, a slow target can't be told from a busy host.
_MIN_SILENCE_MS = 60.0
# Above this ratio of the objective, a second attempt comes too late.
_MAX_SILENCE_RATIO = 1.2
# Ratio of the objective that is left for the host: a caller 8 ms away that
# looks up an address and connects spends about 65 of 400 ms before its
# request reaches the host.
_HOST_BUDGET_RATIO = 0.85


class LatencyEstimator:
    """Estimates mean and mean deviation of a route's latency.

    ``objective_ms`` is the latency objective of the route.
    """

    def __init__(self, objective_ms: float) -> None:
        self._objective_ms = objective_ms
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    @property
    def mean_ms(self) -> float:
        """The mean latency, or a third of the objective without answers."""
        return (
            self._objective_ms / 3 if self._mean_ms is None else self._mean_ms
        )

    @property
    def silence_threshold_ms(self) -> float:
        """The time without an answer after which an attempt is silent."""
        if self._mean_ms is None:
            return self._objective_ms * _INITIAL_SILENCE_RATIO
        late_ms = self._mean_ms + _SILENCE_DEVIATIONS * self._deviation_ms
        return min(
            max(_MIN_SILENCE_MS, late_ms),
            self._objective_ms * _MAX_SILENCE_RATIO,
        )

    @property
    def backup_delay_ms(self) -> float:
        """The delay after which a backup attempt can meet the objective.

        It is at least the time in which most answers come, so that few
        requests are sent twice, and at most ``silence_threshold_ms``.
        """
        if self._mean_ms is None:
            return self.silence_threshold_ms
        usual_ms = self._mean_ms + self._deviation_ms
        latest_ms = self._objective_ms * _HOST_BUDGET_RATIO - usual_ms
        return min(self.silence_threshold_ms, max(usual_ms, latest_ms))

    def add_sample(self, latency_ms: float) -> None:
        """Update the estimate with the latency of an answer."""
        if self._mean_ms is None:
            self._mean_ms = latency_ms
            self._deviation_ms = latency_ms / 2
            return
        error_ms = latency_ms - self._mean_ms
        self._mean_ms += error_ms * _MEAN_GAIN
        self._deviation_ms += _DEVIATION_GAIN * (
            abs(error_ms) - self._deviation_ms
        )
