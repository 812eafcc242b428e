"""Multi-window burn rates of an error budget."""

import collections.abc
import dataclasses

from pomeloward.observability import outcomehistory
from pomeloward.observability import windowpair


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRate:
    """The burn rates of one subject in one pair of windows.

    A rate is None if there was no request in its window.
    """

    subject: outcomehistory.Subject
    window_pair: windowpair.WindowPair
    long_window_rate: float | None
    short_window_rate: float | None

    @property
    def is_alerting(self) -> bool:
        """Whether the rates of both windows reach the threshold."""
        return all(
            rate is not None and rate >= self.window_pair.burn_rate_threshold
            for rate in (self.long_window_rate, self.short_window_rate)
        )


def burn_rate(
    counts: outcomehistory.RequestCounts, objective_ratio: float
) -> float | None:
    """Return the ratio of bad requests divided by the allowed ratio.

    ``objective_ratio`` is the ratio of good requests that the service level
    objective promises, below 1. Without requests the result is None.
    """
    request_count = counts.good + counts.bad
    if not request_count:
        return None
    return counts.bad / request_count / (1 - objective_ratio)


def burn_rates(
    history: outcomehistory.OutcomeHistory,
    window_pairs: collections.abc.Sequence[windowpair.WindowPair],
    objective_ratio: float,
    now_s: float,
) -> list[BurnRate]:
    """Return the burn rates of every subject in every pair of windows."""
    return [
        BurnRate(
            subject,
            window_pair,
            burn_rate(
                history.counts_in_window(subject, window_pair.long_s, now_s),
                objective_ratio,
            ),
            burn_rate(
                history.counts_in_window(subject, window_pair.short_s, now_s),
                objective_ratio,
            ),
        )
        for subject in history.subjects()
        for window_pair in window_pairs
    ]
