"""Plots of memory against teams and of bytes against hosts."""

import pathlib
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.capacity import heartbeat  # noqa: E402
from bench.capacity import plan  # noqa: E402
from bench.capacity import size  # noqa: E402


def draw(found: plan.Plan, directory: pathlib.Path) -> None:
    """Write both plots."""
    _memory(found, directory / "capacity-memory.png")
    _bytes(found, directory / "capacity-bytes.png")


def _memory(found: plan.Plan, path: pathlib.Path) -> None:
    samples = found.configuration.samples
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot(
        [sample.teams for sample in samples],
        [sample.packed_mb for sample in samples],
        "o-",
        label="configuration, packed",
    )
    axes.axhline(size.STATE_BOUND_MB, color="red", label="bound, 64 MB")
    axes.set_xlabel("teams (routes, keys and targets in proportion)")
    axes.set_ylabel("MB")
    _save(figure, axes, path)


def _bytes(found: plan.Plan, path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(6, 4))
    sizes = heartbeat.SIZES
    beats = [heartbeat.bytes_by_hosts(hosts) for hosts in sizes]
    axes.plot(sizes, beats, "o-", label="heartbeats")
    loads = found.reports.by_hosts
    axes.plot(
        [size.REGIONS * hosts for hosts, _ in loads],
        [
            (load.report_bytes + load.answer_bytes) * size.HOST_SERVICES
            for _, load in loads
        ],
        "s-",
        label="service reports and answers, by hosts of a service",
    )
    axes.axhline(size.BYTES_BOUND_PER_S, color="red", label="bound, 9 KB/s")
    axes.set_xlabel("hosts")
    axes.set_ylabel("bytes/s sent by a host")
    _save(figure, axes, path)


def _save(figure: typing.Any, axes: typing.Any, path: pathlib.Path) -> None:
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
