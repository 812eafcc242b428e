"""The composition root of a host."""

import gc
import pathlib
import random
import signal

import anyio

from pomeloward import catalog
from pomeloward import entry
from pomeloward import model
from pomeloward import observability
from pomeloward import settings
from pomeloward.gateway import assembly
from pomeloward.gateway import fleet
from pomeloward.gateway import foundation as foundations
from pomeloward.gateway import sole

# The default threshold of 700 starts a collection in the middle of about
# every tenth request; freezing keeps the start's objects out of all of them.
_GC_THRESHOLDS = (50_000, 20, 100)
# With the 2.5 s after which standing ends, work under a key ends within the
# 3 s of a withdrawal that this host could not hear of.
_STANDING_CHECK_S = 0.25


class Gateway:
    """Builds the parts of a host, runs them and stops them gracefully."""

    def __init__(self, host_settings: settings.Settings) -> None:
        self._settings = host_settings
        self._stopping = anyio.Event()
        self._file_view: catalog.View | None = None
        self._sole: sole.SoleFoundation | None = None
        if host_settings.configuration_file:
            self._file_view = sole.load_configuration(
                pathlib.Path(host_settings.configuration_file)
            )

    async def run(self) -> None:
        """Serve until a signal asks for a graceful stop."""
        observability.configure_log_output(self._settings.logs.file)
        rng = random.Random(self._settings.host_id)  # noqa: S311
        incarnation = assembly.new_incarnation()
        foundation = self._foundation(incarnation, rng)
        parts = assembly.Assembly(self._settings, foundation, incarnation, rng)
        started = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            await tasks.start(parts.run)
            tasks.start_soon(foundation.run, parts.shared.users, started.set)
            tasks.start_soon(self._become_ready, started, foundation, parts)
            tasks.start_soon(_watch_standing, foundation, parts)
            tasks.start_soon(
                self._serve, foundation, parts, tasks.cancel_scope
            )

    def stop(self) -> None:
        """Begin the graceful stop."""
        self._stopping.set()

    def replace(self, view: catalog.View) -> None:
        """Put another configuration in force on a host by itself."""
        if self._sole is not None:
            self._sole.replace(view)

    def _foundation(
        self, incarnation: model.Incarnation, rng: random.Random
    ) -> foundations.Foundation:
        if self._file_view is None:
            return fleet.FleetFoundation(self._settings, incarnation, rng)
        self._sole = sole.SoleFoundation(self._settings, self._file_view)
        return self._sole

    async def _become_ready(
        self,
        started: anyio.Event,
        foundation: foundations.Foundation,
        parts: assembly.Assembly,
    ) -> None:
        await started.wait()
        if not self._stopping.is_set():
            _enter(model.HostState.READY, foundation, parts)
        _quiet_collector()

    async def _serve(
        self,
        foundation: foundations.Foundation,
        parts: assembly.Assembly,
        scope: anyio.CancelScope,
    ) -> None:
        """Serve callers until the drain has ended."""

        async def wait_for_stop() -> None:
            await self._stopping.wait()
            await self._drain(foundation, parts)

        server = entry.Server(parts.application(), self._settings)
        parts.metrics.register_gauge(
            "pomeloward_connections", lambda: len(server)
        )
        await server.serve(wait_for_stop)
        scope.cancel()

    async def _drain(
        self, foundation: foundations.Foundation, parts: assembly.Assembly
    ) -> None:
        """Return only when no work is open any more.

        Callers may use this host's address until their answer lapses, so
        that the host goes on accepting for that long.
        """
        _enter(model.HostState.DRAINING, foundation, parts)
        drain = self._settings.drain
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(foundation.hand_over)
            await anyio.sleep(drain.accept_ms / 1_000)
        limit_s = drain.limit_ms / 1_000 if drain.limit_ms else None
        with anyio.move_on_after(limit_s):
            await parts.open_work.wait_empty()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                self.stop()


def _enter(
    state: model.HostState,
    foundation: foundations.Foundation,
    parts: assembly.Assembly,
) -> None:
    parts.condition.state = state
    foundation.set_state(state)
    parts.recorder.decision("state", state.value)


async def _watch_standing(
    foundation: foundations.Foundation, parts: assembly.Assembly
) -> None:
    """End work under keys while this host could miss a withdrawal."""
    while True:
        await anyio.sleep(_STANDING_CHECK_S)
        if foundation.members.has_standing(model.now_ms()):
            continue
        ended = parts.open_work.end_keyed(model.ErrorKind.HOST_ISOLATED)
        if ended:
            parts.recorder.decision(
                "standing_lost", f"ended {ended} open requests"
            )


def _quiet_collector() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
