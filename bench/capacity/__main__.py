"""Prints what a host costs at the planned size.

Run as ``python -m bench.capacity [--quick] [--seed N] [--plots DIR]``.
"""

import argparse
import pathlib
import sys
import time

from bench.capacity import plan
from bench.capacity import table


def main() -> None:
    """Measure and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plots", type=pathlib.Path)
    arguments = parser.parse_args()
    started = time.process_time()

    def log(text: str) -> None:
        print(f"measuring {text}", file=sys.stderr)

    found = plan.measure(arguments.seed, arguments.quick, log)
    kind = "quick" if arguments.quick else "full"
    print(f"Seed {arguments.seed}, {kind} run.\n")
    for line in table.lines(found):
        print(line)
    if arguments.plots is not None:
        # Imported here, since it takes a second and much memory.
        from bench.capacity import plots

        plots.draw(found, arguments.plots)
    spent = time.process_time() - started
    print(f"\nThe measurement took {spent:.0f} s of a core.")


if __name__ == "__main__":
    main()
