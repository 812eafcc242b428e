"""How full a portion is, as a borrower believes."""

import dataclasses

from pomeloward.budget import portion

# A portion that is at least this full is asked before a fuller one that is
# farther away.
_NEAR_PERCENT = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fill:
    """What a lender said at a time."""

    percent: float
    at_ms: float

    def estimate(self, of: portion.Portion, now_ms: float) -> float:
        """Return the percentage now, if nobody else borrowed."""
        if of.burst_requests <= 0:
            return 0.0
        minted = of.rate_per_s * (now_ms - self.at_ms) / 1000
        return min(100.0, self.percent + 100 * minted / of.burst_requests)


def preference(percent: float) -> float:
    """Return a sort key: portions that are full enough come first.

    Emptying the nearest portion first would let the others overflow; the
    team would have little more than one portion of its burst.
    """
    return 0.0 if percent >= _NEAR_PERCENT else _NEAR_PERCENT - percent
