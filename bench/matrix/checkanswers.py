"""Checks of keys, answers and orders (P2, P3, P8, P9, P10, P12)."""

import collections
import collections.abc

from bench.matrix import seen
from bench.matrix import violation
from bench.matrix import world as worlds

Violations = collections.abc.Iterator[violation.Violation]


def keys(world: worlds.World) -> Violations:
    """P2: a request runs only for the team whose key came with it."""
    calls = {call.marker: call for call in world.seen.calls}
    for start in world.seen.starts:
        call = calls[start.marker]
        team = dict(start.headers).get(b"pomeloward-team", b"").decode()
        if not call.is_allowed or team != call.team:
            yield violation.Violation(
                "P2",
                f"{call.marker} of team {call.team!r} with key of"
                f" {len(call.key)} characters ran for team {team!r}",
            )


def secrets(world: worlds.World) -> Violations:
    """P3: no key at a target, nor in a log, metric or peer message."""
    for start in world.seen.starts:
        text = start.path + b"".join(b"".join(pair) for pair in start.headers)
        if any(secret in text for secret in world.secrets):
            yield violation.Violation(
                "P3", f"{start.target} got a key with {start.marker}"
            )
    for leak in sorted(set(world.seen.leaks)):
        yield violation.Violation("P3", f"a key was in a {leak}")


def answers(world: worlds.World) -> Violations:
    """P8: an answer that looks whole is the caller's own whole answer."""
    for call in world.seen.calls:
        if call.status != 200 or not call.is_complete:
            continue
        if call.body != call.expected:
            yield violation.Violation(
                "P8",
                f"{call.marker} got {len(call.body)} bytes of"
                f" {len(call.expected)}: {call.body[:40]!r}",
            )


def truth(world: worlds.World) -> Violations:
    """P9: what was refused as not run did not start at any target."""
    started = {
        start.request_id: start
        for start in world.seen.starts
        if not start.is_connect_only
    }
    for call in world.seen.calls:
        if call.run == "not_run" and call.request_id in started:
            start = started[call.request_id]
            yield violation.Violation(
                "P9",
                f"{call.marker} was refused as {call.refusal}, not run, but"
                f" ran at {start.target} at {start.at_s:.3f} s",
            )


def once(world: worlds.World) -> Violations:
    """P10: an order starts at most once over all targets."""
    runs: dict[str, list[seen.Start]] = collections.defaultdict(list)
    for start in world.seen.starts:
        if start.order and not start.is_connect_only:
            runs[start.order].append(start)
    for started in runs.values():
        if len(started) > 1:
            places = ", ".join(
                f"{one.target} from {one.host} at {one.at_s:.3f} s"
                for one in started
            )
            marker = started[0].marker
            yield violation.Violation("P10", f"{marker} ran at {places}")


def stops(world: worlds.World) -> Violations:
    """P12: no request was open when a planned stop had ended."""
    for call in world.seen.cut_calls:
        yield violation.Violation("P12", f"the stop cut {call}")
