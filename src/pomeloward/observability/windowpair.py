"""The windows of a burn rate alert."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WindowPair:
    """A long window, a short one that ends the alert, and a threshold.

    Both windows must burn the error budget faster than ``burn_rate_threshold``
    times the rate that would just use it up in the period of the objective.
    """

    long_s: float
    short_s: float
    burn_rate_threshold: float

    @property
    def name(self) -> str:
        """The windows for a person, for example ``1h/5m``."""
        return f"{_length(self.long_s)}/{_length(self.short_s)}"


# B. Beyer et al., "The Site Reliability Workbook" (2018), chapter 5: 2% of a
# 30-day budget in 1 hour, 5% in 6 hours and 10% in 3 days.
WORKBOOK_WINDOW_PAIRS = (
    WindowPair(3_600.0, 300.0, 14.4),
    WindowPair(21_600.0, 1_800.0, 6.0),
    WindowPair(259_200.0, 21_600.0, 1.0),
)


def scaled_window_pairs(scale_ratio: float) -> tuple[WindowPair, ...]:
    """Return the workbook's windows with other lengths.

    Example::

        scaled_window_pairs(1 / 60)  # One minute in place of one hour.
    """
    return tuple(
        WindowPair(
            window.long_s * scale_ratio,
            window.short_s * scale_ratio,
            window.burn_rate_threshold,
        )
        for window in WORKBOOK_WINDOW_PAIRS
    )


def _length(length_s: float) -> str:
    for unit_s, unit in ((86_400, "d"), (3_600, "h"), (60, "m")):
        if length_s >= unit_s:
            return f"{length_s / unit_s:g}{unit}"
    return f"{length_s:.3g}s"
