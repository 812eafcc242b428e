"""Measures detection time, false ejections and fairness.

Run ``python -m bench.detection --part detect`` (or ``curve``, ``strain``,
``fair``); each seed runs in a process of its own.
"""

import argparse
import concurrent.futures
import dataclasses
import functools
import json
import pathlib
import statistics

import matplotlib

from bench import fleetmodel
from pomeloward import model
from pomeloward.service import tuning as tuning_

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

_DEPLOYMENTS = {"kunene": fleetmodel.KUNENE, "bertoldi": fleetmodel.BERTOLDI}
_WARM_UP_MS = 20_000.0
# A target without new work for the rest of this time counts as detected.
_EPISODE_MS = 9_000.0
_PAUSE_MS = 7_000.0
_KINDS = ("slow", "errors", "cut")
_Z_SCORES = (3.5, 4.5, 5.0, 5.5)
# Minimum ratio, number of samples and evaluations that must agree.
_RULES = ((3.0, 3, 2), (5.0, 3, 2), (5.0, 3, 3), (5.0, 4, 2))
# Rate, factor of the slow route, and factor of all targets' latency.
_STRAINS = (
    (2.0, 1.0, 1.0),
    (1.0, 1.0, 1.0),
    (0.5, 10.0, 1.0),
    (0.6, 1.0, 3.0),
)
_STRAIN_MS = 60_000.0

Measured = dict[str, list[float]]


def _shadows() -> list[tuning_.Tuning]:
    return [
        dataclasses.replace(
            tuning_.Tuning(),
            z_score=z,
            min_ratio=ratio,
            min_count=count,
            confirmations=confirmations,
        )
        for ratio, count, confirmations in _RULES
        for z in _Z_SCORES
    ]


def _set_fault(
    fleet: fleetmodel.Fleet, kind: str, target: model.TargetId
) -> None:
    fleet.slow = {target: 10.0} if kind == "slow" else {}
    fleet.failing = {target: 0.5} if kind == "errors" else {}
    hosts = {host.name for host in fleet.hosts[::4]}
    fleet.cut = {target: hosts} if kind == "cut" else {}


def detect(
    name: str, seed: int, *, is_alone: bool = False, count: int = 12
) -> Measured:
    """Return the times until a gray target gets no new work, in ms."""
    fleet = fleetmodel.Fleet(
        _DEPLOYMENTS[name], seed, tuning_.Tuning(), is_alone=is_alone
    )
    fleet.run(_WARM_UP_MS)
    times: Measured = {}
    for number in range(count * len(_KINDS)):
        kind = _KINDS[number % len(_KINDS)]
        target = fleet.view.servers[number % len(fleet.view.servers)].id
        begun_ms = fleet.now_ms
        fleet.last_start_ms[target] = begun_ms
        _set_fault(fleet, kind, target)
        fleet.run(begun_ms + _EPISODE_MS)
        _set_fault(fleet, "", target)
        last_ms = fleet.last_start_ms[target] - begun_ms
        times.setdefault(kind, []).append(last_ms)
        fleet.run(fleet.now_ms + _PAUSE_MS)
    return times


def _strain(fleet: fleetmodel.Fleet, until_ms: float) -> None:
    """Run through overload, bursts, a slow route and general slowness."""
    number = 0
    while fleet.now_ms < until_ms:
        rate, route, all_slow = _STRAINS[number % len(_STRAINS)]
        fleet.slow_route_factor = route
        fleet.slow = {target.id: all_slow for target in fleet.view.servers}
        end_ms = min(until_ms, fleet.now_ms + _STRAIN_MS)
        while fleet.now_ms < end_ms:
            is_burst = int(fleet.now_ms // 4_000) % 5 == 0
            fleet.rate_factor = rate * (3.0 if is_burst else 1.0)
            fleet.run(min(end_ms, fleet.now_ms + 1_000.0))
        number += 1
    fleet.rate_factor = fleet.slow_route_factor = 1.0
    fleet.slow = {}


def strain(
    name: str, seed: int, hours: float, *, is_alone: bool = False
) -> Measured:
    """Return the number of false ejections and of requests."""
    fleet = fleetmodel.Fleet(
        _DEPLOYMENTS[name], seed, tuning_.Tuning(), is_alone=is_alone
    )
    fleet.run(_WARM_UP_MS)
    _strain(fleet, _WARM_UP_MS + hours * 3_600_000.0)
    return {
        "false": [len(fleet.ejections)],
        "requests": [sum(fleet.arrived)],
        "hours": [hours],
    }


def curve(name: str, seed: int, hours: float, count: int = 12) -> Measured:
    """Return false findings and detection times for many thresholds.

    All detectors see the same evidence and none acts.
    """
    shadows = _shadows()
    fleet = fleetmodel.Fleet(
        _DEPLOYMENTS[name], seed, tuning_.Tuning(), shadows=shadows
    )
    fleet.run(_WARM_UP_MS)
    _strain(fleet, _WARM_UP_MS + hours * 3_600_000.0)
    measured: Measured = {}
    for number in range(len(shadows)):
        seen = {
            (int(at_ms // 10_000), target)
            for at_ms, shadow, target in fleet.findings
            if shadow == number
        }
        measured[f"false {number}"] = [len(seen)]
    fleet.run(fleet.now_ms + 60_000.0)
    for place in range(count):
        target = fleet.view.servers[place % len(fleet.view.servers)].id
        fleet.findings.clear()
        begun_ms = fleet.now_ms
        _set_fault(fleet, "slow", target)
        fleet.run(begun_ms + _EPISODE_MS)
        _set_fault(fleet, "", target)
        first = dict.fromkeys(range(len(shadows)), _EPISODE_MS)
        for at_ms, shadow, found in reversed(fleet.findings):
            if found == target:
                first[shadow] = at_ms - begun_ms
        for shadow, time_ms in first.items():
            measured.setdefault(f"time {shadow}", []).append(time_ms)
        fleet.run(fleet.now_ms + _PAUSE_MS)
    return measured


def _service_ratios(
    name: str, seed: int, factors: list[float], run_ms: float
) -> list[float]:
    fleet = fleetmodel.Fleet(_DEPLOYMENTS[name], seed, tuning_.Tuning())
    fleet.run(_WARM_UP_MS)
    fleet.team_factors = factors
    fleet.run(fleet.now_ms + 5_000.0)
    fleet.arrived = [0] * len(factors)
    fleet.counts_from_ms = fleet.now_ms
    fleet.served = [0] * len(factors)
    fleet.run(fleet.now_ms + run_ms)
    fleet.counts_until_ms = fleet.now_ms
    fleet.run(fleet.now_ms + 11_000.0)
    return [
        served / max(1, arrived)
        for served, arrived in zip(fleet.served, fleet.arrived, strict=True)
    ]


def fair(name: str, seed: int, run_ms: float = 60_000.0) -> Measured:
    """Return each other team's service beside a flood, over that alone."""
    count = len(_DEPLOYMENTS[name].teams)
    flooded = _service_ratios(name, seed, [5.0] + [1.0] * (count - 1), run_ms)
    ratios = []
    for team in range(1, count):
        alone = [1.0 if other == team else 1e-9 for other in range(count)]
        served = _service_ratios(name, seed, alone, run_ms)[team]
        ratios.append(flooded[team] / served)
    return {"served over alone": ratios}


def _merge(results: list[Measured]) -> Measured:
    merged: Measured = {}
    for result in results:
        for key, values in result.items():
            merged.setdefault(key, []).extend(values)
    return merged


def _plot(name: str, measured: Measured, hours: float) -> None:
    figure, axes = pyplot.subplots(figsize=(6, 4))
    for row, (ratio, count, agreeing) in enumerate(_RULES):
        base = row * len(_Z_SCORES)
        numbers = range(base, base + len(_Z_SCORES))
        rates = [sum(measured[f"false {n}"]) / hours for n in numbers]
        times = [
            statistics.median(measured[f"time {n}"]) / 1_000 for n in numbers
        ]
        axes.plot(
            times,
            rates,
            "o-",
            label=f"ratio {ratio:g}, {count} samples, {agreeing} times",
        )
        for z_score, time_s, rate in zip(_Z_SCORES, times, rates, strict=True):
            axes.annotate(f"{z_score:g}", (time_s, rate))
    axes.set_yscale("symlog", linthresh=0.1)
    axes.set_xlabel("median detection time, 10 times slower, s")
    axes.set_ylabel("false ejections per hour of strain")
    axes.set_title(f"Thresholds of the z-score, {name}")
    axes.legend()
    figure.tight_layout()
    figure.savefig(pathlib.Path("docs") / f"detection-{name}.png", dpi=100)


def main() -> None:
    """Run one part over all seeds and print a line for each figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", default="detect")
    parser.add_argument("--deployment", default="kunene")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--hours", type=float, default=0.2)
    parser.add_argument("--alone", action="store_true")
    options = parser.parse_args()
    name = options.deployment
    parts = {
        "detect": functools.partial(detect, name, is_alone=options.alone),
        "strain": functools.partial(
            strain, name, hours=options.hours, is_alone=options.alone
        ),
        "curve": functools.partial(curve, name, hours=options.hours),
        "fair": functools.partial(fair, name),
    }
    seeds = [options.seed + 10 * number for number in range(options.seeds)]
    with concurrent.futures.ProcessPoolExecutor(5) as pool:
        runs = [pool.submit(parts[options.part], seed=seed) for seed in seeds]
        measured = _merge([run.result() for run in runs])
    if options.part == "curve":
        _plot(name, measured, options.hours * len(seeds))
    for key, values in measured.items():
        figures = {
            "median": statistics.median(values),
            "min": min(values),
            "max": max(values),
            "sum": sum(values),
            "runs": len(values),
        }
        print(name, options.part, key, json.dumps(figures))


if __name__ == "__main__":
    main()
