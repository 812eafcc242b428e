"""Outlier tests of one target against the others of its service.

The robust z-score follows B. Iglewicz and D. Hoaglin, "How to detect and
handle outliers" (1993): the distance from the median in units of the median
absolute deviation (MAD), scaled to the standard deviation of a normal
distribution.
"""

import collections.abc
import math
import statistics

from pomeloward.service import tuning as tuning_
from pomeloward.service import window

# Standard deviation of a normal distribution over its MAD.
_MAD_SCALE = 1.4826
# Variance of an answer's error indicator that is always assumed, that of 5%
# errors, so that the first errors after a clean hour are not an outlier.
_ERROR_VARIANCE = 0.05 * 0.95


def latency_excess(
    own: window.Sums,
    others: collections.abc.Sequence[window.Sums],
    tuning: tuning_.Tuning,
) -> float:
    """Return by how many nats a target is slower, 0 if not an outlier.

    The variance of the others' means is scaled to the target's own number
    of samples, as the mean of fewer samples is less certain.
    """
    peers = [sums for sums in others if sums.samples >= tuning.min_count]
    if own.samples < tuning.min_count or len(peers) < tuning.min_peers:
        return 0.0
    means = [sums.nats / sums.samples for sums in peers]
    median = statistics.median(means)
    excess = own.nats / own.samples - median
    if excess < tuning.fall_nats:
        return 0.0
    deviation = statistics.median(abs(mean - median) for mean in means)
    usual = statistics.median(sums.samples for sums in peers)
    variance = (_MAD_SCALE * deviation) ** 2
    if own.samples < usual:
        variance *= usual / own.samples
    spread = math.sqrt(variance + tuning.spread_floor**2)
    return excess if excess / spread >= tuning.z_score else 0.0


def has_error_excess(
    own: window.Sums,
    others: collections.abc.Sequence[window.Sums],
    tuning: tuning_.Tuning,
) -> bool:
    """Tell whether a target answers with many more errors than others."""
    if own.errors < tuning.min_errors or own.count < tuning.min_count:
        return False
    ratios = [sums.errors / sums.count for sums in others if sums.count]
    if len(ratios) < tuning.min_peers:
        return False
    usual = statistics.median(ratios)
    excess = own.errors / own.count - usual
    if excess < tuning.min_error_ratio:
        return False
    variance = max(usual * (1 - usual), _ERROR_VARIANCE)
    return excess / math.sqrt(variance / own.count) >= tuning.z_score
