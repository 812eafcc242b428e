"""Plots the curve of detection thresholds."""

import pathlib
import statistics

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


def save(
    name: str,
    measured: dict[str, list[float]],
    hours: float,
    rules: tuple[tuple[float, int, int], ...],
    z_scores: tuple[float, ...],
) -> None:
    """Draw false findings over detection time, one line for each rule."""
    figure, axes = pyplot.subplots(figsize=(6, 4))
    for row, (ratio, count, agreeing) in enumerate(rules):
        base = row * len(z_scores)
        numbers = range(base, base + len(z_scores))
        rates = [sum(measured[f"false {n}"]) / hours for n in numbers]
        times = [
            statistics.median(measured[f"time {n}"]) / 1_000 for n in numbers
        ]
        axes.plot(
            times,
            rates,
            "o-",
            label=f"ratio {ratio:g}, {count} samples, {agreeing} times",
        )
        for z_score, time_s, rate in zip(z_scores, times, rates, strict=True):
            axes.annotate(f"{z_score:g}", (time_s, rate))
    axes.set_yscale("symlog", linthresh=0.1)
    axes.set_xlabel("median detection time, 10 times slower, s")
    axes.set_ylabel("false ejections per hour of strain")
    axes.set_title(f"Thresholds of the z-score, {name}")
    axes.legend()
    figure.tight_layout()
    figure.savefig(pathlib.Path("docs") / f"detection-{name}.png", dpi=100)
