"""Least squares fit of a line through measured points."""

import collections.abc
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line; ``error_ratio`` is the RMS residual over the mean value."""

    intercept: float
    slope: float
    error_ratio: float

    def at(self, size: float) -> float:
        """Return the value of the line."""
        return self.intercept + self.slope * size


def fit(points: collections.abc.Sequence[tuple[float, float]]) -> Fit:
    """Fit a line to pairs of size and value; at least four sizes."""
    if len({size for size, _ in points}) < 4:
        raise ValueError("a fit needs four sizes")
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean = sum(value for _, value in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    both = sum((size - mean_size) * (value - mean) for size, value in points)
    slope = both / spread
    intercept = mean - slope * mean_size
    residual = math.sqrt(
        sum((value - intercept - slope * size) ** 2 for size, value in points)
        / count
    )
    return Fit(intercept, slope, residual / abs(mean) if mean else 0.0)
