"""The command line of the site."""

import argparse
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
    given = parser.parse_args()
    directory = pathlib.Path(tempfile.mkdtemp(prefix="pomeloward-site-"))
    print(f"logs and records: {directory}")
    made = anyio.run(
        play.play,
        shapes.SIZES[given.size],
        given.seed,
        given.seconds,
        given.source,
        directory,
    )
    for line in made.lines():
        print(line)
    return 1 if made.wrong else 0


if __name__ == "__main__":
    sys.exit(main())
