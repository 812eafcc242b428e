"""Checks the path to targets when attempts fail."""

import anyio

from pomeloward import model
from pomeloward import observability
from pomeloward.relay import pathmonitor
from pomeloward.relay import pathprobe

_TICK_S = 0.05


class PathWatcher:
    """Runs the checks that a ``PathMonitor`` asks for."""

    def __init__(
        self,
        monitor: pathmonitor.PathMonitor,
        path_probe: pathprobe.PathProbe,
        metrics: observability.Metrics,
    ) -> None:
        self._monitor = monitor
        self._path_probe = path_probe
        self._metrics = metrics
        self._woken = anyio.Event()

    def wake(self) -> None:
        """Look soon whether a check is due."""
        self._woken.set()

    async def run(self) -> None:
        """Check when it is due, until cancelled."""
        while True:
            if not self._monitor.is_watching(model.now_ms()):
                await self._woken.wait()
            self._woken = anyio.Event()
            if self._monitor.is_check_due(model.now_ms()):
                await self._check()
            await anyio.sleep(_TICK_S)

    async def _check(self) -> None:
        """Try to connect to a few targets until one accepts."""
        if not self._path_probe.has_targets():
            return
        self._metrics.increment("pomeloward_path_checks_total")
        self._monitor.start_check()
        has_connected = await self._path_probe.connects_to_any()
        self._monitor.record_check(has_connected, model.now_ms())
