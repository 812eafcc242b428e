"""Multi-window burn rates of an error budget."""

import collections.abc
import dataclasses

from pomeloward.observability import outcomehistory
from pomeloward.observability import windowpair


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRate:
    """The burn rates of one subject in one pair of windows.

    A rate is None while its window has no request.
    """

    subject: outcomehistory.Subject
    window_pair: windowpair.WindowPair
    long_window_rate: float | None
    short_window_rate: float | None

    @property
    def is_alerting(self) -> bool:
        """Whether both windows burn faster than the threshold."""
        return all(
            rate is not None and rate >= self.window_pair.burn_rate_threshold
            for rate in (self.long_window_rate, self.short_window_rate)
        )


def burn_rate(
    counts: outcomehistory.RequestCounts, objective_ratio: float
) -> float | None:
    """Return the share of bad requests over the share that is allowed.

    ``objective_ratio`` is the promised share of good requests, below 1.
    """
    total = counts.good + counts.bad
    if not total:
        return None
    return counts.bad / total / (1 - objective_ratio)


def burn_rates(
    history: outcomehistory.OutcomeHistory,
    windows: collections.abc.Sequence[windowpair.WindowPair],
    objective_ratio: float,
    now_s: float,
) -> list[BurnRate]:
    """Return the rates of every subject in every pair of windows."""
    return [
        BurnRate(
            subject,
            window,
            burn_rate(
                history.counts_in_window(subject, window.long_s, now_s),
                objective_ratio,
            ),
            burn_rate(
                history.counts_in_window(subject, window.short_s, now_s),
                objective_ratio,
            ),
        )
        for subject in history.subjects()
        for window in windows
    ]
