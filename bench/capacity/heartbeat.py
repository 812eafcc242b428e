"""Heartbeats and digests by the size of the fleet."""

import time

from bench.capacity import fit
from bench.capacity import framing
from bench.capacity import plannedfleet
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward import catalog
from pomeloward import membership
from pomeloward import model

SIZES = (160, 320, 480, 640)
_QUICK_SIZES = (160, 240, 320, 400)
_ROUNDS = 20


def measure(run: runs.Run) -> list[row.Row]:
    """Return the rows of membership."""
    sizes = _QUICK_SIZES if run.is_quick else SIZES
    counts, sent, spent = [], [], []
    for hosts in sizes:
        messages, total_bytes, core_s = _one_size(hosts)
        counts.append((float(hosts), messages))
        sent.append((float(hosts), total_bytes))
        spent.append((float(hosts), core_s))
    by_count, by_bytes, by_time = map(fit.fit, (counts, sent, spent))
    messages_per_s = by_count.at(size.HOSTS)
    bytes_per_s = by_bytes.at(size.HOSTS)
    core = by_time.at(size.HOSTS)
    core += run.transport.core_ratio(messages_per_s, bytes_per_s)
    return [
        row.Row(
            row.Role.EVERY,
            "heartbeats with digests, one each second",
            "16 rings of contacts, 2 contacts in each other region",
            messages_per_s=messages_per_s,
            bytes_per_s=bytes_per_s,
            core_ratio=core,
            error_ratio=max(
                each.error_ratio for each in (by_count, by_bytes, by_time)
            ),
        )
    ]


def bytes_by_hosts(hosts: int) -> float:
    """Return the bytes of a host's heartbeats a second, for the plot."""
    return _one_size(hosts)[1]


def _one_size(count: int) -> tuple[float, float, float]:
    """Return messages/s, bytes/s and decision time of one host."""
    kept = plannedfleet.first_hosts(count)
    view = catalog.Configuration.of_records(model.Version(3_000), kept)
    own = next(view.hosts())
    now_ms = 1e6
    roll = _roll(own, view, now_ms)
    beats = roll.beats(now_ms)
    others = {host.id: host for host in view.hosts()}
    for host, _ in beats:
        answered = dict(_roll(others[host], view, now_ms).beats(now_ms))
        if own.id in answered:
            roll.received(host, answered[own.id], now_ms)
    started = time.process_time()
    for number in range(_ROUNDS):
        at_ms = now_ms + number
        found = roll.beats(at_ms)
        for host, beat in found:
            roll.received(host, beat, at_ms)
        roll.has_standing(at_ms)
    spent = (time.process_time() - started) / _ROUNDS
    sizes = [framing.tell_bytes(beat) for _, beat in found]
    return float(len(sizes)), float(sum(sizes)), spent


def _roll(
    host: catalog.Host, view: catalog.View, now_ms: float
) -> membership.Roll:
    roll = membership.Roll(
        host.id, host.region, model.Incarnation(1_700_000_000_000)
    )
    roll.state = model.HostState.READY
    roll.load = 40
    roll.configure(view, now_ms)
    return roll
