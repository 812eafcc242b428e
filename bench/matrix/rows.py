"""Which cells are run, and how their results are printed."""

import collections
import itertools
import random

from bench.matrix import cell
from bench.matrix import faults
from bench.matrix import steps

# Pairs of distinct faults, each at one column, drawn evenly over the faults
# and the columns.
PAIRS = 60
_QUICK_PAIRS = 4
_QUICK_COLUMNS = 1
# More violations of one promise in a cell are counted, not printed.
_SHOWN = 3


def tasks(seed: int, *, is_quick: bool) -> list[tuple[str, str, int]]:
    """Return the cells of a run: row, column and seed."""
    rng = random.Random(seed)  # noqa: S311
    names = [fault.name for fault in faults.FAULTS]
    columns = [step.value for step in steps.Step]
    order = rng.sample(columns, len(columns))
    found = []
    for number, name in enumerate(names):
        chosen = columns
        if is_quick:
            begin = number * _QUICK_COLUMNS
            chosen = [
                order[(begin + index) % len(order)]
                for index in range(_QUICK_COLUMNS)
            ]
        found += [(name, column, seed) for column in chosen]
    count = _QUICK_PAIRS if is_quick else PAIRS
    for number, pair in enumerate(pairs(rng, count)):
        column = order[number % len(order)]
        found.append(("+".join(pair), column, seed))
    return found


def pairs(rng: random.Random, count: int) -> list[tuple[str, str]]:
    """Draw pairs so that each fault comes about equally often."""
    names = [fault.name for fault in faults.FAULTS if fault.name != "none"]
    rest = list(itertools.combinations(names, 2))
    rng.shuffle(rest)
    uses: collections.Counter[str] = collections.Counter()
    drawn: list[tuple[str, str]] = []
    while rest and len(drawn) < count:
        pair = min(rest, key=lambda pair: uses[pair[0]] + uses[pair[1]])
        rest.remove(pair)
        uses.update(pair)
        drawn.append(pair)
    return drawn


def line(row: list[cell.Result]) -> str:
    """Return the line of one row."""
    violations = sum(len(result.violations) for result in row)
    missed = sum(not result.is_reached for result in row)
    requests = sum(result.request_count for result in row)
    served = sum(result.served_count for result in row)
    text = (
        f"{row[0].row:<34} {len(row):>3} cells {requests:>6} requests"
        f" {served:>6} served {violations:>4} violations"
    )
    return text + (f" {missed} not reached" if missed else "")


def details(result: cell.Result) -> str:
    """Return what was broken in a cell and the command that repeats it."""
    place = f"{result.row}/{result.column}"
    command = f"python -m bench.matrix --cell {place} --seed {result.seed}"
    lines = [f"{place}: {command}"]
    if not result.is_reached:
        lines.append("  the step was not reached, so no fault began")
    by_promise = collections.defaultdict(list)
    for violation in result.violations:
        by_promise[violation.promise].append(violation.detail)
    for promise, found in by_promise.items():
        lines += [f"  {promise}: {detail}" for detail in found[:_SHOWN]]
        if len(found) > _SHOWN:
            lines.append(f"  {promise}: {len(found) - _SHOWN} more")
    return "\n".join(lines)
