"""The demo: a fleet, its targets and callers, with faults on live traffic.

Starts six entry hosts in three zones, thirty targets of two services, the
platform, and eight teams' callers. Then a target turns slow, a key is
withdrawn, a host is stopped, and a change of the configuration is
published. Prints what happened with times.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import time

import anyio.to_thread

from bench import deployment
from bench import fleet
from bench import load
from pomeloward import catalog
from pomeloward import model

HOST_COUNT = 6
STOPPED_HOST = 4
GRAY_TARGET = deployment.target_name("booking", 3)
_WITHDRAWN_TEAM = 7
_WARM_UP_S = 4.0
_GRAY_S = 7.0
_WITHDRAWN_S = 4.0
_AFTER_STOP_S = 1.0
_IN_FORCE_LIMIT_S = 12.0
_DETECTION_LIMIT_S = 6.0
_WITHDRAWAL_LIMIT_S = 3.0


class Demo:
    """Runs the steps one after the other and gathers their results."""

    def __init__(self, running: fleet.Fleet, traffic: load.Load) -> None:
        self._fleet = running
        self._load = traffic
        self._started_s = time.monotonic()
        self.lines: list[tuple[bool, str]] = []

    async def run(self) -> None:
        """Run every step beside the callers' traffic."""
        async with asyncio.TaskGroup() as group:
            traffic = group.create_task(self._load.run())
            await asyncio.sleep(_WARM_UP_S)
            await self._turn_target_gray()
            await self._withdraw_key()
            await self._stop_host()
            await self._change_configuration()
            self._load.stop()
            await traffic
        await self._check_traffic()

    def note(self, is_good: bool, text: str) -> None:
        """Keep and print one result."""
        self.lines.append((is_good, text))
        mark = "ok  " if is_good else "FAIL"
        elapsed_s = time.monotonic() - self._started_s
        print(f"[{elapsed_s:5.1f} s] {mark} {text}", flush=True)

    async def _turn_target_gray(self) -> None:
        fault = {"slow_factor": 10.0}
        change = {"target": GRAY_TARGET, "faults": fault}
        await anyio.to_thread.run_sync(self._fleet.set_faults, [change])
        since_s = time.time()
        await asyncio.sleep(_GRAY_S)
        seen = await anyio.to_thread.run_sync(self._fleet.seen)
        starts = [at_s for at_s, _ in seen[GRAY_TARGET]["starts"]]
        late = [at_s - since_s for at_s in starts if at_s > since_s]
        last_s = max(late, default=0.0)
        self.note(
            last_s <= _DETECTION_LIMIT_S,
            f"{GRAY_TARGET} turned 10 times slower; its last new request "
            f"came {last_s:.1f} s later ({len(late)} in all)",
        )

    async def _withdraw_key(self) -> None:
        record = deployment.key_record(_WITHDRAWN_TEAM)
        deletion = catalog.Deletion(catalog.Kind.KEY, record.digest.hex())
        since_s = time.time()
        await anyio.to_thread.run_sync(self._fleet.publish, [], [deletion])
        await asyncio.sleep(_WITHDRAWN_S)
        team = deployment.team_name(_WITHDRAWN_TEAM)
        served = [
            found.at_s - since_s
            for found in self._load.outcomes()
            if found.team == team and found.status == 200
        ]
        last_s = max(served + [0.0])
        refused = [
            found
            for found in self._load.outcomes()
            if found.team == team and found.status == 401
        ]
        self.note(
            last_s <= _WITHDRAWAL_LIMIT_S and bool(refused),
            f"key of {team} withdrawn; last answer {last_s:.1f} s after its "
            f"publication, then {len(refused)} refusals",
        )

    async def _stop_host(self) -> None:
        before = len(self._load.failures())
        since_s = time.monotonic()
        self._fleet.signal_host(STOPPED_HOST, signal.SIGTERM)
        status = await anyio.to_thread.run_sync(
            self._fleet.wait_host, STOPPED_HOST, 15.0
        )
        took_s = time.monotonic() - since_s
        await asyncio.sleep(_AFTER_STOP_S)
        failed = len(self._load.failures()) - before
        self.note(
            status == 0 and failed == 0,
            f"{deployment.host_name(STOPPED_HOST)} stopped gracefully in "
            f"{took_s:.1f} s with exit status {status}; {failed} requests "
            "failed meanwhile",
        )

    async def _change_configuration(self) -> None:
        team = catalog.Team(model.TeamId(deployment.team_name(0)), 55.0, 55.0)
        since_s = time.monotonic()
        version = await anyio.to_thread.run_sync(self._fleet.publish, [team])
        waiting = set(range(HOST_COUNT)) - {STOPPED_HOST}
        while waiting and time.monotonic() - since_s < _IN_FORCE_LIMIT_S:
            for index in sorted(waiting):
                status = await anyio.to_thread.run_sync(
                    self._fleet.host_status, index
                )
                if status["version"] >= version:
                    waiting.discard(index)
            await asyncio.sleep(0.02)
        took_s = time.monotonic() - since_s
        self.note(
            not waiting,
            f"configuration version {version} in force on "
            f"{HOST_COUNT - 1 - len(waiting)} of {HOST_COUNT - 1} hosts "
            f"after {took_s:.2f} s",
        )

    async def _check_traffic(self) -> None:
        seen = await anyio.to_thread.run_sync(self._fleet.seen)
        doubled = [
            order
            for found in seen.values()
            for order, runs in found["order_runs"].items()
            if runs > 1
        ]
        leaks = sum(found["key_leaks"] for found in seen.values())
        outcomes = self._load.outcomes()
        served = [found for found in outcomes if found.status == 200]
        mixed = [found for found in served if not found.is_own_answer]
        self.note(not doubled, f"{len(doubled)} orders ran more than once")
        self.note(not mixed, f"{len(mixed)} callers got another's answer")
        self.note(leaks == 0, f"{leaks} callers' keys reached a target")
        failures = self._load.failures()
        self.note(
            not failures,
            f"{len(outcomes)} requests, {len(served)} served, "
            f"{len(failures)} failed: {load.count_kinds(failures)}",
        )


async def _demo(running: fleet.Fleet, seed: int) -> bool:
    traffic = load.Load(running.plan, running.urls(), seed, 0.4)
    traffic.expect_refused(deployment.team_name(_WITHDRAWN_TEAM))
    demo = Demo(running, traffic)
    ready_s = await anyio.to_thread.run_sync(running.wait_ready, 20.0)
    demo.note(
        True,
        f"{HOST_COUNT} entry hosts in {len(running.plan.zones)} zones ready, "
        f"all partitions owned, after {ready_s:.1f} s",
    )
    await demo.run()
    return all(is_good for is_good, _ in demo.lines)


def main() -> int:
    """Run the demo; return 0 when every step did what it should."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deployment", default="bertoldi")
    parser.add_argument(
        "--folder", type=pathlib.Path, default=pathlib.Path("build/demo")
    )
    options = parser.parse_args()
    plan = deployment.DEPLOYMENTS[options.deployment]
    running = fleet.Fleet(plan, HOST_COUNT, options.seed, options.folder)
    try:
        running.start()
        is_good = asyncio.run(_demo(running, options.seed))
    finally:
        running.stop()
    print("demo passed" if is_good else "demo FAILED")
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
