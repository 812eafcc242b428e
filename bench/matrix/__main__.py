"""Runs the fault matrix.

Example::

    python -m bench.matrix --quick
    python -m bench.matrix --cell host-paused/dispatch --seed 3
    python -m bench.matrix --plant all
"""

import argparse
import collections.abc
import concurrent.futures
import multiprocessing
import os
import sys

from bench.matrix import cell
from bench.matrix import plants
from bench.matrix import rows

# The machine is shared; each worker takes a processor of its own.
_WORKERS = 5


def main() -> int:
    """Run what the arguments ask for; 1 is returned for violations."""
    parsed = _parser().parse_args()
    if parsed.plant:
        return _plant(parsed.plant, parsed.seed)
    if parsed.cell:
        row, _, column = parsed.cell.partition("/")
        chosen = [(row, column, parsed.seed)]
    else:
        chosen = rows.tasks(parsed.seed, is_quick=parsed.quick)
    return _report(_run_all(chosen))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="bench.matrix", description="Runs the fault matrix."
    )
    parser.add_argument("--quick", action="store_true", help="fewer cells")
    parser.add_argument("--seed", type=int, default=1, help="seed of cells")
    parser.add_argument("--cell", default="", help="one cell, ROW/COLUMN")
    parser.add_argument(
        "--plant",
        default="",
        choices=("", "all", *plants.PLANTS),
        metavar="NAME",
        help="run with a planted fault; all runs each in turn",
    )
    return parser


def _plant(name: str, seed: int) -> int:
    """Run planted faults; 1 says that the check found the fault.

    With ``all``, 1 says that some check did not find the fault of its
    promise.
    """
    names = list(plants.PLANTS) if name == "all" else [name]
    found = 0
    with _pool() as pool:
        for each, result in zip(
            names,
            pool.map(cell.run_planted, names, [seed] * len(names)),
            strict=True,
        ):
            promise = plants.PLANTS[each].promise
            red = sorted({broken.promise for broken in result.violations})
            is_found = promise in red
            found += is_found
            print(
                f"{each:<22} {promise:<4}"
                f" {'found' if is_found else 'NOT FOUND':<10}"
                f" red: {', '.join(red) or 'none'}",
                flush=True,
            )
            if name != "all":
                print(rows.details(result))
    print(f"{len(names)} plants, {found} found")
    return int(found != len(names)) if name == "all" else int(found > 0)


def _pool() -> concurrent.futures.ProcessPoolExecutor:
    # The order of sets must not differ between runs of one seed.
    os.environ["PYTHONHASHSEED"] = "0"
    context = multiprocessing.get_context("spawn")
    return concurrent.futures.ProcessPoolExecutor(_WORKERS, mp_context=context)


def _run_all(
    chosen: collections.abc.Sequence[cell.Task],
) -> collections.abc.Iterator[cell.Result]:
    with _pool() as pool:
        yield from pool.map(cell.run_task, chosen)


def _report(results: collections.abc.Iterable[cell.Result]) -> int:
    """Print each row once it is complete, and then what was broken."""
    broken: list[cell.Result] = []
    cells = violations = 0
    row: list[cell.Result] = []
    for result in results:
        if row and row[0].row != result.row:
            print(rows.line(row), flush=True)
            row = []
        row.append(result)
        cells += 1
        violations += len(result.violations)
        if result.violations or not result.is_reached:
            broken.append(result)
    if row:
        print(rows.line(row), flush=True)
    for result in broken:
        print(rows.details(result))
    print(f"{cells} cells, {violations} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
