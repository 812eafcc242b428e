"""The command line of a process that has several callers."""

import json
import pathlib
import random
import sys

import anyio

from tests.platform.site import caller as callers
from tests.platform.site import directory
from tests.platform.site import lag
from tests.platform.site import records
from tests.platform.site import requests as drawn
from tests.platform.site import shape as shapes


async def _main(path):
    plan = json.loads(path.read_text())
    rng = random.Random(f"{plan['seed']} {plan['name']}")
    recorder = records.Recorder(path.with_suffix(".jsonl"))
    requests = drawn.Requests(rng, f"s{plan['seed']}-{plan['name']}")
    addresses = directory.Directory(plan["directories"], rng)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lag.watch, recorder)
        tasks.start_soon(addresses.refresh)
        await addresses.found.wait()
        end_s = anyio.current_time() + plan["duration_s"]
        rate_per_s = plan["rate_per_s"] / plan["callers"]
        async with anyio.create_task_group() as calling:
            for number in range(plan["callers"]):
                one = callers.Caller(
                    rng,
                    requests,
                    addresses,
                    recorder,
                    shapes.ZONES[number % len(shapes.ZONES)],
                    rng.choice(callers.HABITS),
                )
                calling.start_soon(one.run, rate_per_s, end_s)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(_main, pathlib.Path(sys.argv[1]))
