"""Measures how late the loop of a process runs."""

import anyio

_TICK_S = 0.05


async def watch(recorder):
    """Record the greatest lag of each second."""
    worst_s, ticks = 0.0, 0
    while True:
        began_s = anyio.current_time()
        await anyio.sleep(_TICK_S)
        worst_s = max(worst_s, anyio.current_time() - began_s - _TICK_S)
        ticks += 1
        if ticks * _TICK_S >= 1:
            recorder.write("lag", worst_s=round(worst_s, 4))
            worst_s, ticks = 0.0, 0
