"""The configuration in memory, its load, changes and look-ups."""

import collections.abc
import dataclasses
import random
import time
import typing

import psutil

from bench import plannedsize
from bench.capacity import fit
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from bench.capacity import transfers
from pomeloward import catalog
from pomeloward import membership
from pomeloward import model
from pomeloward.catalog import change as changes
from pomeloward.gateway import cachedview
from pomeloward.ownership import territory

RATIOS = (1.0, 0.75, 0.5, 0.25)
_QUICK_RATIOS = (0.25, 0.19, 0.13, 0.07)
_VERSION = model.Version(3_000)
# A request looks up its key, its team and its route.
_LOOKUPS = ("key", "team", "route")


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Figures of one size; times are seconds of a core."""

    teams: float
    packed_mb: float
    resident_mb: float
    load_s: float
    apply_s: float
    lookup_s: dict[str, float]
    pages: float
    page_bytes: float
    shards: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Samples, rows and the load time at the planned size."""

    samples: list[Sample]
    rows: list[row.Row]
    load_s: fit.Fit
    apply_s: fit.Fit
    lookup_s: dict[str, fit.Fit]
    shards: fit.Fit


def measure(run: runs.Run) -> Result:
    """Load configurations, the largest first."""
    ratios = _QUICK_RATIOS if run.is_quick else RATIOS
    rng = random.Random(run.seed)
    samples = [_sample(ratio, rng) for ratio in ratios]
    memory = _fit(samples, lambda sample: sample.packed_mb)
    load = _fit(samples, lambda sample: sample.load_s)
    apply = _fit(samples, lambda sample: sample.apply_s)
    lookups = {
        name: fit.fit([(each.teams, each.lookup_s[name]) for each in samples])
        for name in _LOOKUPS
    }
    # The first load also pays for the allocator's spare space.
    spare = samples[0].resident_mb / samples[0].packed_mb
    lookup_s = sum(each.at(size.TEAMS) for each in lookups.values())
    rows = [
        row.Row(
            row.Role.EVERY,
            "configuration: 64,000 teams, 128,000 keys, 12,000 routes, "
            "9,800 targets",
            "records packed into shards that versions share",
            state_mb=memory.at(size.TEAMS) * max(1.0, spare),
            core_ratio=load.at(size.TEAMS) * size.STARTS_PER_S / size.HOSTS,
            error_ratio=max(memory.error_ratio, load.error_ratio),
        ),
        row.Row(
            row.Role.EVERY,
            "apply a change, 3,000 a day",
            "one shard rewritten; each part takes the new version",
            core_ratio=apply.at(size.TEAMS) * size.CHANGES_PER_S,
            error_ratio=apply.error_ratio,
        ),
        row.Row(
            row.Role.EVERY,
            "look-ups of key, team and route without the cache",
            "hash index of each shard, 81 requests/s",
            core_ratio=lookup_s * size.HOST_REQUESTS_PER_S,
            error_ratio=max(e.error_ratio for e in lookups.values()),
        ),
        *transfers.rows(
            run,
            _fit(samples, lambda sample: sample.pages),
            _fit(samples, lambda sample: sample.page_bytes),
        ),
    ]
    shards = _fit(samples, lambda sample: sample.shards)
    return Result(samples, rows, load, apply, lookups, shards)


def records_of(
    ratio: float,
) -> collections.abc.Iterator[catalog.Record]:
    """Iterate over a part of the planned teams, keys, routes and targets."""
    limits = {
        catalog.Team: ratio * size.TEAMS,
        catalog.Route: ratio * size.ROUTES,
        catalog.Target: ratio * size.TARGETS,
    }
    counts: dict[type[object], int] = {}
    for record in plannedsize.records():
        kind = type(record)
        counts[kind] = counts.get(kind, 0) + 1
        if isinstance(record, catalog.Key):
            if int(record.team.partition("-")[2]) < limits[catalog.Team]:
                yield record
        elif counts[kind] <= limits.get(kind, float("inf")):
            yield record


def _fit(
    samples: list[Sample], value: collections.abc.Callable[[Sample], float]
) -> fit.Fit:
    return fit.fit([(sample.teams, value(sample)) for sample in samples])


def _sample(ratio: float, rng: random.Random) -> Sample:
    process = psutil.Process()
    before = process.memory_info().rss
    started = time.process_time()
    view = catalog.Configuration.of_records(_VERSION, records_of(ratio))
    load_s = time.process_time() - started
    resident = process.memory_info().rss - before
    return Sample(
        ratio * size.TEAMS,
        view.memory_bytes() / 1e6,
        resident / 1e6,
        load_s,
        _apply_s(view, rng, ratio),
        _lookup_s(view, rng, ratio),
        *transfers.page_figures(view),
        transfers.shard_count(view),
    )


def _apply_s(
    view: catalog.Configuration, rng: random.Random, ratio: float
) -> float:
    """Return the time from the bytes of a change to its use."""
    current = view
    payloads = []
    for _ in range(40):
        version = model.Version(current.version + 1)
        number = rng.randrange(int(ratio * size.TEAMS))
        team = catalog.Team(model.TeamId(f"team-{number}"), 9.0, 9.0)
        changed = catalog.Change(current.version, version, (team,))
        payloads.append(changes.encode_change(changed))
        current = current.applied(changed)
    region = model.RegionId("region-0")
    host = model.HostId("host-0")
    roll = membership.Roll(host, region, model.Incarnation(1))
    land = territory.Territory(view, region)
    land.firsts()
    current = view
    started = time.process_time()
    for payload in payloads:
        current = current.applied(changes.decode_change(payload))
        cached = cachedview.CachedView(current)
        roll.configure(cached, 0.0)
        land = territory.Territory(cached, region, land)
        for service in cached.services():
            cached.targets(service.id)
            cached.shares(service.id)
    return (time.process_time() - started) / len(payloads)


def _lookup_s(
    view: catalog.Configuration, rng: random.Random, ratio: float
) -> dict[str, float]:
    teams = int(ratio * size.TEAMS)
    routes = int(ratio * size.ROUTES)
    arguments: dict[str, list[tuple[typing.Any, ...]]] = {
        "key": [
            (plannedsize.digest(rng.randrange(teams)),) for _ in range(5_000)
        ],
        "team": [(f"team-{rng.randrange(teams)}",) for _ in range(5_000)],
        "route": [
            ("GET", plannedsize.prefix(rng.randrange(routes)) + "/7")
            for _ in range(5_000)
        ],
    }
    functions: dict[str, collections.abc.Callable[..., object]] = {
        "key": view.team_of_key,
        "team": view.team,
        "route": view.route_for,
    }
    spent = {}
    for name, function in functions.items():
        started = time.process_time()
        for each in arguments[name]:
            function(*each)
        spent[name] = (time.process_time() - started) / len(arguments[name])
    return spent
