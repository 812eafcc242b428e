"""Prints what a host costs at the planned size.

Run as ``python -m bench.capacity [--quick] [--seed N] [--docs DIR]``. With
``--docs`` the table goes into the page CAPACITY.md of that directory, and the
plots beside it.
"""

import argparse
import pathlib
import sys
import time

from bench.capacity import page
from bench.capacity import plan
from bench.capacity import table


def main() -> None:
    """Measure and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--docs", type=pathlib.Path)
    arguments = parser.parse_args()
    started = time.process_time()

    def log(text: str) -> None:
        print(f"measuring {text}", file=sys.stderr)

    found = plan.measure(arguments.seed, arguments.quick, log)
    kind = "quick" if arguments.quick else "full"
    lines = [f"Seed {arguments.seed}, {kind} run.", "", *table.lines(found)]
    printed = "\n".join(lines) + "\n"
    print(printed)
    if arguments.docs is not None:
        # Imported here, since it takes a second and much memory.
        from bench.capacity import plots

        plots.draw(found, arguments.docs)
        page.replace(arguments.docs / "CAPACITY.md", printed)
    spent = time.process_time() - started
    print(f"The measurement took {spent:.0f} s of a core.")


if __name__ == "__main__":
    main()
