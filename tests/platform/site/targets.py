"""The command line of a process that has several targets."""

import json
import pathlib
import signal
import sys

import anyio

from tests.platform.site import lag
from tests.platform.site import records
from tests.platform.site import target as targets


async def _main(path):
    plan = json.loads(path.read_text())
    recorder = records.Recorder(path.with_suffix(".jsonl"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lag.watch, recorder)
        with anyio.open_signal_receiver(signal.SIGTERM) as received:
            made = [
                targets.Target(one, plan["behaviour"], plan["seed"], recorder)
                for one in plan["targets"]
            ]
            async with anyio.create_task_group() as running:
                for one in made:
                    running.start_soon(one.run)
                async for _ in received:
                    break
                for one in made:
                    one.stop()
            tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(_main, pathlib.Path(sys.argv[1]))
