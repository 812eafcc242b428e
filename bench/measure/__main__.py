"""Runs the measurements and prints the table.

The quick run measures one seed and fewer faults within 50 s.
"""

import argparse
import concurrent.futures
import multiprocessing
import pathlib
import sys

from bench import deployment
from bench.measure import figure
from bench.measure import live
from bench.measure import report

_SEEDS = 5
_OUTPUT = pathlib.Path("build/measure.jsonl")


def _plans(is_quick: bool, seeds: range) -> list[live.Plan]:
    kinds = ("slow",) if is_quick else ("slow", "errors", "cut")
    plans = []
    for seed in seeds:
        for found in deployment.DEPLOYMENTS.values():
            plans.append(live.Plan(found, seed, kinds))
            if not is_quick:
                plans.append(live.Plan(found, seed, kinds, is_sole=True))
    return plans


def main() -> int:
    """Measure; return 0 when the runs ended, whatever they measured."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=_SEEDS)
    options = parser.parse_args()
    count = 1 if options.quick else options.seeds
    plans = _plans(options.quick, range(options.seed, options.seed + count))
    figures: list[figure.Figure] = []
    # Two fleets of 8 hosts at a time leave processors to their callers.
    # Each run has a process of its own, and with it its own addresses.
    with concurrent.futures.ProcessPoolExecutor(
        2,
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        for found in pool.map(live.run_plan, plans):
            figures += found
    report.write(figures, _OUTPUT)
    print(report.table(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
