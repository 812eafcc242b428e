"""Measures a live fleet: detection, zone moves and withdrawn keys."""

import asyncio
import collections
import collections.abc
import dataclasses
import pathlib
import time

import anyio.to_thread

from bench import deployment
from bench import fleet
from bench import load
from bench.measure import figure
from pomeloward import catalog
from pomeloward import model

HOST_COUNT = 8
_FILL_RATIO = 0.4
_WARM_UP_S = 4.0
_RECOVERY_S = 4.0
_GRAY_S = 7.0
_MOVE_S = 7.0
_WITHDRAWN_S = 4.0
_WITHDRAWN_TEAM = 7
_APART = 5

_KINDS: dict[str, dict[str, object]] = {
    "slow": {"slow_factor": 10.0},
    "errors": {"error_ratio": 0.5},
    "cut": {},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to measure in one run."""

    deployment: deployment.Deployment
    seed: int
    kinds: tuple[str, ...]
    is_sole: bool = False


class Live:
    """One run of a live fleet; ``figures`` holds what it measured."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.figures: list[figure.Figure] = []
        self._plan = plan
        self._fleet = fleet.Fleet(
            plan.deployment, HOST_COUNT, plan.seed, folder, plan.is_sole
        )
        self._load = load.Load(
            plan.deployment, self._fleet.urls(), plan.seed, _FILL_RATIO
        )

    def run(self) -> list[figure.Figure]:
        """Start the fleet, measure, and stop it."""
        try:
            self._fleet.start()
            self._fleet.wait_ready(30.0)
            asyncio.run(self._measure())
        finally:
            self._fleet.stop()
        return self.figures

    async def _measure(self) -> None:
        async with asyncio.TaskGroup() as group:
            traffic = group.create_task(self._load.run())
            await asyncio.sleep(_WARM_UP_S)
            for kind in self._plan.kinds:
                await self._detect(kind)
            if not self._plan.is_sole:
                await self._move_zone()
                await self._withdraw_key()
            self._load.stop()
            await traffic
        await self._count_doubled()

    async def _detect(self, kind: str) -> None:
        service = self._plan.deployment.services[0]
        # Each kind has a target of its own: one that was gray before is still
        # on trial or the last choice when the next kind begins.
        number = self._plan.seed + _APART * tuple(_KINDS).index(kind)
        index = number % service.targets
        target = deployment.target_name(service.name, index)
        faults = dict(_KINDS[kind])
        sources = {deployment.host_address(i) for i in (1, 2)}
        if kind == "cut":
            faults["unreachable_from"] = sorted(sources)
        since_s = time.time()
        await self._set_faults(target, faults)
        await asyncio.sleep(_GRAY_S)
        starts = await self._starts()
        found = starts[target]
        late_s = [s - since_s for s in found if s > since_s]
        await self._set_faults(target, {})
        if kind == "cut":
            late_s = [
                done.at_s - since_s
                for done in self._load.outcomes()
                if done.at_s > since_s and done.status in (502, 504)
            ]
        measure = f"detection, {kind}, last new work"
        if kind == "cut":
            # A connect that fails and is retried elsewhere starts no work.
            measure = "detection, cut, last failed answer"
        self._add(measure, max(late_s, default=0.0), "s", 3.0)
        await asyncio.sleep(_RECOVERY_S)

    async def _move_zone(self) -> None:
        zone = self._plan.deployment.zones[-1]
        out_s = time.time()
        await self._publish_zone(zone, is_out=True)
        await asyncio.sleep(_MOVE_S)
        starts = await self._starts()
        members = self._targets_in(zone)
        late_s = [
            s - out_s for name in members for s in starts[name] if s > out_s
        ]
        self._add("zone out, last new work", max(late_s, default=0), "s", 3.0)
        await self._publish_zone(zone, is_out=False)
        await asyncio.sleep(_MOVE_S)
        worst = _worst_second(self._load, out_s, time.time() - 1.0)
        self._add(
            "zone move, success in the worst second",
            worst * 100,
            "%",
            99.9,
            is_floor=True,
        )

    async def _withdraw_key(self) -> None:
        team = deployment.team_name(_WITHDRAWN_TEAM)
        self._load.expect_refused(team)
        record = deployment.key_record(_WITHDRAWN_TEAM)
        deletion = catalog.Deletion(catalog.Kind.KEY, record.digest.hex())
        since_s = time.time()
        await anyio.to_thread.run_sync(self._fleet.publish, [], [deletion])
        await asyncio.sleep(_WITHDRAWN_S)
        late_s = [
            found.at_s - since_s
            for found in self._load.outcomes()
            if found.team == team and found.status == 200
        ]
        value = max([*late_s, 0.0])
        self._add("withdrawn key, last answer", value, "s", 3.0)

    async def _count_doubled(self) -> None:
        seen = await anyio.to_thread.run_sync(self._fleet.seen)
        doubled = sum(
            runs > 1
            for found in seen.values()
            for runs in found["order_runs"].values()
        )
        self._add("orders run twice", doubled, "", 0.0)
        outcomes = [o for o in self._load.outcomes() if o.status != 401]
        refused = sum(o.status == 429 for o in outcomes)
        ratio = refused / max(1, len(outcomes)) * 100
        self._add("in-rate refusals", ratio, "%", 0.1)
        failed = len(self._load.failures()) / max(1, len(outcomes)) * 100
        self._add("failed after retries", failed, "%")

    def _targets_in(self, zone: str) -> set[str]:
        return {
            str(record.id)
            for record in self._fleet.records
            if isinstance(record, catalog.Target) and record.zone == zone
        }

    async def _starts(self) -> dict[str, list[float]]:
        seen = await anyio.to_thread.run_sync(self._fleet.seen)
        return {
            name: [at_s for at_s, _ in found["starts"]]
            for name, found in seen.items()
        }

    async def _set_faults(
        self, target: str, faults: collections.abc.Mapping[str, object]
    ) -> None:
        change = [{"target": target, "faults": dict(faults)}]
        await anyio.to_thread.run_sync(self._fleet.set_faults, change)

    async def _publish_zone(self, zone: str, is_out: bool) -> None:
        record = catalog.Zone(model.ZoneId(zone), deployment.REGION, is_out)
        await anyio.to_thread.run_sync(self._fleet.publish, [record])

    def _add(
        self,
        measure: str,
        value: float,
        unit: str,
        bound: float | None = None,
        is_floor: bool = False,
    ) -> None:
        way = "alone" if self._plan.is_sole else "this version"
        self.figures.append(
            figure.Figure(
                self._plan.deployment.name,
                measure,
                way,
                "live",
                self._plan.seed,
                round(value, 3),
                unit,
                bound,
                is_floor,
            )
        )


def run_plan(plan: Plan) -> list[figure.Figure]:
    """Run one plan in this process."""
    way = "alone" if plan.is_sole else "fleet"
    name = f"{plan.deployment.name}-{way}-{plan.seed}"
    return Live(plan, pathlib.Path("build/measure") / name).run()


def _worst_second(traffic: load.Load, from_s: float, to_s: float) -> float:
    """Return the lowest share of successes in any second of the move."""
    total: collections.Counter[int] = collections.Counter()
    good: collections.Counter[int] = collections.Counter()
    for found in traffic.outcomes():
        if from_s <= found.at_s < to_s:
            second = int(found.at_s - from_s)
            total[second] += 1
            good[second] += found.status == 200
    return min((good[s] / total[s] for s in total), default=0.0)
