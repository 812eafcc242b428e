"""Multi-window burn rates of an error budget."""

import collections.abc
import dataclasses

from pomeloward.observe import burnhistory
from pomeloward.observe import burnwindow


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRate:
    """The burn rates of one subject in one pair of windows.

    A rate is None while its window has no request.
    """

    subject: burnhistory.Subject
    window: burnwindow.BurnWindow
    long_rate: float | None
    short_rate: float | None

    @property
    def is_alerting(self) -> bool:
        """Whether both windows burn faster than the threshold."""
        return all(
            rate is not None and rate >= self.window.threshold
            for rate in (self.long_rate, self.short_rate)
        )


def burn_rate(
    counts: burnhistory.Counts, objective_ratio: float
) -> float | None:
    """Return the share of bad requests over the share that is allowed.

    ``objective_ratio`` is the promised share of good requests, below 1.
    """
    total = counts.good + counts.bad
    if not total:
        return None
    return counts.bad / total / (1 - objective_ratio)


def burn_rates(
    history: burnhistory.BurnHistory,
    windows: collections.abc.Sequence[burnwindow.BurnWindow],
    objective_ratio: float,
    now_s: float,
) -> list[BurnRate]:
    """Return the rates of every subject in every pair of windows."""
    return [
        BurnRate(
            subject,
            window,
            burn_rate(
                history.counts(subject, window.long_s, now_s), objective_ratio
            ),
            burn_rate(
                history.counts(subject, window.short_s, now_s),
                objective_ratio,
            ),
        )
        for subject in history.subjects()
        for window in windows
    ]
