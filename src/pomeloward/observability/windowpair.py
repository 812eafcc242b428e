"""The pairs of time windows that burn rate alerts use."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WindowPair:
    """A long and a short window, and the burn rate at which they alert.

    An alert needs a burn rate of at least ``burn_rate_threshold`` in both
    windows; the short one ends it soon after the fault. At a burn rate of 1
    the error budget lasts exactly for the period of the objective.
    """

    long_s: float
    short_s: float
    burn_rate_threshold: float

    @property
    def name(self) -> str:
        """The lengths of the windows for display, for example ``1h/5m``."""
        return (
            f"{_format_duration(self.long_s)}/{_format_duration(self.short_s)}"
        )


# B. Beyer et al., "The Site Reliability Workbook" (2018), chapter 5: 2% of a
# 30-day budget in 1 hour, 5% in 6 hours and 10% in 3 days.
WORKBOOK_WINDOW_PAIRS = (
    WindowPair(3_600.0, 300.0, 14.4),
    WindowPair(21_600.0, 1_800.0, 6.0),
    WindowPair(259_200.0, 21_600.0, 1.0),
)


def scaled_window_pairs(scale_ratio: float) -> tuple[WindowPair, ...]:
    """Return the workbook's pairs with window lengths times a factor.

    Example::

        scaled_window_pairs(1 / 60)  # One hour becomes one minute.
    """
    return tuple(
        WindowPair(
            pair.long_s * scale_ratio,
            pair.short_s * scale_ratio,
            pair.burn_rate_threshold,
        )
        for pair in WORKBOOK_WINDOW_PAIRS
    )


def _format_duration(duration_s: float) -> str:
    for unit_s, suffix in ((86_400, "d"), (3_600, "h"), (60, "m")):
        if duration_s >= unit_s:
            return f"{duration_s / unit_s:g}{suffix}"
    return f"{duration_s:.3g}s"
