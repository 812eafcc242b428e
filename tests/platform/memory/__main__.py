"""Prints the memory of a host and the times of sound calls under load."""

import argparse
import pathlib
import sys
import tempfile

import anyio

from tests.platform.memory import targets
from tests.platform.memory import world

_LOADS = (("rest", "read", 0), ("read", "read", 60), ("bad", "harmful", 300))
_LARGE_LOAD = ("bad", "harmful", 1_000)


async def _measure(source, names, load, duration_s):
    label, mode, count = load
    with tempfile.TemporaryDirectory() as directory:
        made = world.World(pathlib.Path(directory), source)
        async with made.running(names):
            peak_mb, sound = await made.load(mode, count, duration_s)
            end_mb = made.resident_mb()
    statuses = sound["statuses"]
    sys.stdout.write(
        f"{label} {count}: peak {peak_mb:.0f} MB, end {end_mb:.0f} MB, "
        f"sound {statuses.count(200)}/{len(statuses)} "
        f"p50 {world.percentile_ms(sound, 50):.1f} ms "
        f"p99 {world.percentile_ms(sound, 99):.1f} ms\n"
    )
    sys.stdout.flush()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--source", type=pathlib.Path, default="src")
    parser.add_argument("--duration-s", type=float, default=8.0)
    parser.add_argument("--large", action="store_true")
    parser.add_argument(
        "--targets", nargs="+", default=sorted(targets.BEHAVIORS)
    )
    parsed = parser.parse_args()
    for load in (_LARGE_LOAD,) if parsed.large else _LOADS:
        anyio.run(
            _measure,
            parsed.source.resolve(),
            parsed.targets,
            load,
            parsed.duration_s,
        )


if __name__ == "__main__":
    main()
