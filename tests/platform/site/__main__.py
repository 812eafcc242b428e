"""The command line of the site."""

import argparse
import dataclasses
import pathlib
import sys
import tempfile

import anyio

from tests.platform.site import play
from tests.platform.site import shape as shapes


def main():
    """Play a seed and print its summary; return 1 if an answer was wrong."""
    parser = argparse.ArgumentParser(prog="site", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--size", choices=shapes.SIZES, default="small")
    parser.add_argument("--source", type=pathlib.Path, default=play.SOURCE)
    parser.add_argument("--second-ratio", type=float)
    parser.add_argument("--failure-ratio", type=float)
    given = parser.parse_args()
    directory = pathlib.Path(tempfile.mkdtemp(prefix="pomeloward-site-"))
    print(f"logs and records: {directory}")
    made = anyio.run(
        play.play,
        _shape(given),
        given.seed,
        given.seconds,
        given.source,
        directory,
    )
    for line in made.lines():
        print(line)
    return 1 if made.wrong else 0


def _shape(given):
    """Return the shape of the size, with the ratios that are given."""
    ratios = {
        "second_ratio": given.second_ratio,
        "failure_ratio": given.failure_ratio,
    }
    return dataclasses.replace(
        shapes.SIZES[given.size],
        **{name: one for name, one in ratios.items() if one is not None},
    )


if __name__ == "__main__":
    sys.exit(main())
