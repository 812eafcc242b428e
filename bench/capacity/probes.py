"""Probes of ejected targets, by their number."""

import random
import time

import anyio
import anyio.abc

from bench import modelview
from bench.capacity import fit
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward.service import probing
from pomeloward.service import targetrecord
from pomeloward.service import tuning as tuning_

_SIZES = (2, 4, 8, 16)
# Assumed part of all targets that are ejected.
_EJECTED_RATIO = 0.01
_STEP_MS = 50.0
_LOCAL = "127.0.0.1"
# SYN, ACK, FIN and its ACK, as headers only.
_PACKETS = 4


def measure(run: runs.Run) -> list[row.Row]:
    """Return the row of probes; they go to targets, not to hosts."""
    by_count = fit.fit([(float(n), _per_s(n, run)) for n in _SIZES])
    ejected = size.TARGETS * _EJECTED_RATIO / size.HOSTS
    probes_per_s = max(0.0, by_count.slope * ejected)
    count = 50 if run.is_quick else 300
    probe_s = anyio.run(_connect, count, backend_options={"use_uvloop": True})
    return [
        row.Row(
            row.Role.EVERY,
            f"probes, {probes_per_s:.2f}/s with 1% of targets ejected",
            "one host at a time connects, near the end of an ejection",
            messages_per_s=probes_per_s * _PACKETS,
            core_ratio=probes_per_s * probe_s,
            error_ratio=by_count.error_ratio,
        )
    ]


def _per_s(count: int, run: runs.Run) -> float:
    """Return probes per second of so many targets that stay ejected."""
    tuning = tuning_.Tuning()
    rng = random.Random(run.seed)
    chooser = probing.Probing(tuning)
    view = modelview.ModelView(count, 4, 1)
    records = [
        targetrecord.TargetRecord(target, 4, tuning) for target in view.servers
    ]
    chosen = 0
    now_ms = 0.0
    for record in records:
        record.eject(now_ms, rng)
    end_ms = max(record.until_ms for record in records)
    while now_ms < end_ms:
        chosen += len(chooser.choose(records, now_ms))
        now_ms += _STEP_MS
    return chosen * 1_000.0 / end_ms


async def _connect(count: int) -> float:
    """Return processor time of a connection, of both of its ends."""

    async def accept(stream: anyio.abc.SocketStream) -> None:
        await stream.aclose()

    listener = await anyio.create_tcp_listener(local_host=_LOCAL)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        started = time.process_time()
        for _ in range(count):
            stream = await anyio.connect_tcp(_LOCAL, port)
            await stream.aclose()
        spent = time.process_time() - started
        tasks.cancel_scope.cancel()
    return spent / count
