"""Prints figures as a table and writes them as JSON lines."""

import collections
import collections.abc
import pathlib
import statistics

import msgspec

from bench.measure import figure

_Key = tuple[str, str, str, str]


def write(
    figures: collections.abc.Sequence[figure.Figure], path: pathlib.Path
) -> None:
    """Write one JSON object a line."""
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = [msgspec.json.encode(found) for found in figures]
    path.write_bytes(b"\n".join(lines) + b"\n")


def table(figures: collections.abc.Sequence[figure.Figure]) -> str:
    """Return a Markdown table with median and worst over the seeds."""
    groups: dict[_Key, list[figure.Figure]] = collections.defaultdict(list)
    for found in figures:
        key = (found.deployment, found.measure, found.place, found.way)
        groups[key].append(found)
    lines = [
        "| deployment | measure | way | runs | median | worst | bound "
        "| holds |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for key in sorted(groups):
        lines.append(_row(groups[key]))
    return "\n".join(lines)


def _row(found: list[figure.Figure]) -> str:
    first = found[0]
    values = [item.value for item in found]
    worst = min(values) if first.is_floor else max(values)
    median = statistics.median(values)
    return (
        f"| {first.deployment} | {first.measure} | {first.place}, "
        f"{first.way} | {len(found)} | {median:.4g} {first.unit} | "
        f"{worst:.4g} {first.unit} | {_bound(first)} | "
        f"{_holds(first, worst)} |"
    )


def _bound(first: figure.Figure) -> str:
    if first.bound is None:
        return ""
    sign = ">=" if first.is_floor else "<="
    return f"{sign} {first.bound:g} {first.unit}"


def _holds(first: figure.Figure, worst: float) -> str:
    if first.bound is None:
        return ""
    is_held = worst >= first.bound if first.is_floor else worst <= first.bound
    return "yes" if is_held else "no"
