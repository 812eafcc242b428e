"""Measures the configuration at the planned size with the pure objects.

Run as ``python -m bench.configuration [--seed N]``. It prints memory, load,
look-up and apply times of one configuration, and the hops, messages and bytes
that a change takes to reach a fleet.
"""

import argparse
import collections
import collections.abc
import hashlib
import random
import resource
import statistics
import time
import typing

import psutil

from bench import plannedsize
from pomeloward import catalog
from pomeloward import model
from pomeloward.catalog import actions
from pomeloward.catalog import change as changes

CHANGES_PER_DAY = 3_000
DAY_S = 86_400


def main() -> None:
    """Print every figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    rng = random.Random(seed)
    print(f"seed {seed}")
    view = _memory()
    _lookups(view, rng)
    _applies(view, rng)
    for loss_ratio in (0.0, 0.05):
        _spread(random.Random(seed), loss_ratio)


def _memory() -> catalog.Configuration:
    process = psutil.Process()
    before = process.memory_info().rss
    started = time.perf_counter()
    view = catalog.Configuration.of_records(
        model.Version(1), plannedsize.records()
    )
    load_s = time.perf_counter() - started
    grown = process.memory_info().rss - before
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 - before
    print(f"load {load_s:.2f} s, resident growth {grown / 1e6:.1f} MB")
    print(f"peak growth while loading {peak / 1e6:.1f} MB")
    print(f"packed structures {view.memory_bytes() / 1e6:.1f} MB")
    return view


def _timed(
    name: str,
    function: collections.abc.Callable[..., typing.Any],
    arguments: list[tuple[typing.Any, ...]],
) -> None:
    started = time.perf_counter()
    for each in arguments:
        function(*each)
    spent = time.perf_counter() - started
    print(f"{name} {spent / len(arguments) * 1e6:.1f} us")


def _lookups(view: catalog.Configuration, rng: random.Random) -> None:
    size = plannedsize.SIZE
    keys = [
        (plannedsize.digest(rng.randrange(size.keys)),) for _ in range(10_000)
    ]
    unknown = [(hashlib.sha256(key[0]).digest(),) for key in keys]
    teams = [(f"team-{rng.randrange(size.teams)}",) for _ in range(10_000)]
    paths = [
        ("GET", plannedsize.prefix(rng.randrange(size.routes)) + "/7/x")
        for _ in range(10_000)
    ]
    services = [(f"service-{n}",) for n in range(size.services)]
    _timed("team_of_key", view.team_of_key, keys)
    _timed("team_of_key of an unknown key", view.team_of_key, unknown)
    _timed("team", view.team, teams)
    _timed("route_for", view.route_for, paths)
    _timed("targets of a service", view.targets, services)


def _applies(view: catalog.Configuration, rng: random.Random) -> None:
    current = view
    payloads = []
    for number in range(2_000):
        version = model.Version(current.version + 1)
        if number % 2:
            team = model.TeamId(f"team-{rng.randrange(1_000)}")
            changed = catalog.Change(
                current.version, version, (catalog.Team(team, 9.0, 9.0),)
            )
        else:
            key = catalog.Deletion(
                catalog.Kind.KEY, plannedsize.digest(number).hex()
            )
            changed = catalog.Change(current.version, version, delete=(key,))
        payloads.append(changes.encode_change(changed))
        current = current.applied(changed)
    rest = iter(payloads)
    state = [view]

    def decode_and_apply() -> None:
        state[0] = state[0].applied(changes.decode_change(next(rest)))

    _timed("decode and apply one change", decode_and_apply, [()] * 2_000)
    mean = statistics.fmean(len(payload) for payload in payloads)
    print(f"a change has {mean:.0f} bytes in the mean")


def _spread(rng: random.Random, loss_ratio: float) -> None:
    """Push one change from the readers, breadth first."""
    hosts = plannedsize.fleet()
    view = catalog.Configuration.of_records(model.Version(1), hosts)
    names = [each.id for each in hosts if isinstance(each, catalog.Host)]
    nodes = {}
    for name in names:
        node = catalog.Spreader(name, names[:3], rng)
        node.on_built(view, 0.0)
        nodes[name] = node
    team = catalog.Team(model.TeamId("crew"), 1.0, 1.0)
    payload = changes.encode_change(
        catalog.Change(view.version, model.Version(2), (team,))
    )
    queue: collections.deque[tuple[model.HostId, int]] = collections.deque(
        (name, 0) for name in rng.sample(names, 9)
    )
    hops: dict[model.HostId, int] = {}
    messages = 0
    while queue:
        name, hop = queue.popleft()
        todo = nodes[name].on_change(payload, 0.0)
        if todo:
            hops[name] = hop
        for action in todo:
            if isinstance(action, actions.Tell):
                messages += 1
                if rng.random() >= loss_ratio:
                    queue.append((action.host, hop + 1))
    per_day = messages / len(names) * len(payload) * CHANGES_PER_DAY
    print(
        f"push with {loss_ratio:.0%} loss: {len(hops)} of {len(names)} hosts, "
        f"hops mean {statistics.fmean(hops.values()):.1f} max "
        f"{max(hops.values())}, {messages} messages, "
        f"{messages / len(names) * len(payload):.0f} bytes per change and "
        f"host, {per_day / DAY_S:.1f} B/s at {CHANGES_PER_DAY} changes a day"
    )


if __name__ == "__main__":
    main()
