"""The composition root of a host."""

import gc
import random
import signal

import anyio

from pomeloward import catalog
from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import observe
from pomeloward import settings
from pomeloward.gateway import condition
from pomeloward.gateway import foundation as foundations
from pomeloward.gateway import localaddresses
from pomeloward.gateway import localorders
from pomeloward.gateway import shared
from pomeloward.gateway import sole
from pomeloward.gateway import targets

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
        self._rng = random.Random(host_settings.host_id)  # noqa: S311
        self._foundation: foundations.Foundation = sole.SoleFoundation(
            host_settings
        )
        self._condition = condition.Condition(
            host_settings.host, self._foundation
        )
        self._shared = shared.Shared(
            host_settings, self._foundation, self._rng
        )
        self._open_work = entry.OpenWork()
        self._metrics = observe.Metrics()
        self._journal = observe.Journal()
        self._stopping = anyio.Event()
        self._known = targets.Targets(lambda: self._foundation.view)
        limits = host_settings.limits
        self._links = dispatch.Links(
            limits.target_idle_ms, host_settings.address
        )
        self._dispatcher = dispatch.Dispatcher(
            self._shared.admission,
            self._shared.slots,
            dispatch.Sender(
                self._known,
                self._links,
                limits.connect_ms,
                limits.stream_idle_ms,
            ),
            self._journal,
        )
        self._foundation.on_view(self._on_view)

    async def run(self) -> None:
        """Serve until a signal asks for a graceful stop."""
        observe.open_log(self._settings.logs.file)
        app = self._application()
        started = anyio.Event()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_signals)
                await tasks.start(self._shared.run)
                tasks.start_soon(
                    self._foundation.run, self._shared.users, started.set
                )
                tasks.start_soon(self._become_ready, started)
                tasks.start_soon(self._watch_standing)
                tasks.start_soon(self._open_work.run)
                tasks.start_soon(self._dispatcher.run)
                tasks.start_soon(self._serve, app, tasks.cancel_scope)
        finally:
            with anyio.CancelScope(shield=True):
                await self._links.aclose()

    def stop(self) -> None:
        """Begin the graceful stop."""
        self._stopping.set()

    def replace(self, view: catalog.View) -> None:
        """Put another configuration in force on a host by itself."""
        if isinstance(self._foundation, sole.SoleFoundation):
            self._foundation.replace(view)

    def _on_view(self, view: catalog.View) -> None:
        ended = self._open_work.end_withdrawn(view)
        if ended:
            self._decided("keys_withdrawn", f"ended {ended} open requests")
        self._links.keep_only(self._known.ids())

    async def _become_ready(self, started: anyio.Event) -> None:
        await started.wait()
        if not self._stopping.is_set():
            self._enter(model.HostState.READY)
        _quiet_collector()

    async def _watch_standing(self) -> None:
        """End work under keys while this host could miss a withdrawal."""
        while True:
            await anyio.sleep(_STANDING_CHECK_S)
            if self._foundation.has_standing(shared.now_ms()):
                continue
            ended = self._open_work.end_keyed(model.ErrorKind.HOST_ISOLATED)
            if ended:
                self._decided("standing_lost", f"ended {ended} open requests")

    def _enter(self, state: model.HostState) -> None:
        self._condition.state = state
        self._foundation.set_state(state)
        self._decided("state", state.value)

    def _decided(self, kind: str, reason: str) -> None:
        self._journal.record(
            observe.Decision(at_ms=shared.now_ms(), kind=kind, reason=reason)
        )

    async def _serve(
        self, app: entry.Application, scope: anyio.CancelScope
    ) -> None:
        """Serve in a task of its own.

        hypercorn stops by an asyncio task group that leaves its own task
        marked as cancelled.
        """
        await entry.serve(app, self._settings, self._wait_for_stop)
        scope.cancel()

    def _application(self) -> entry.Application:
        limits = self._settings.limits
        logs = self._settings.logs
        log = observe.Log(logs.request_ratio, logs.refusals_per_s, self._rng)
        recorder = entry.Recorder(self._metrics, self._journal, log)
        gatekeeper = entry.Gatekeeper(self._condition, limits)
        orders = localorders.LocalOrders()
        parts = self._shared
        self._metrics.gauge(
            "pomeloward_open_requests", lambda: len(self._open_work)
        )
        return entry.Application(
            self._condition,
            entry.Handler(
                gatekeeper,
                orders,
                parts.budget,
                self._dispatcher,
                self._open_work,
                recorder,
                limits,
            ),
            entry.WebsocketHandler(
                gatekeeper,
                parts.budget,
                parts.admission,
                self._known,
                self._open_work,
                recorder,
                limits,
            ),
            entry.Admin(
                self._condition,
                localaddresses.LocalAddresses(self._settings),
                orders,
                self._metrics,
                self._journal,
            ),
            recorder,
            limits,
        )

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                self.stop()

    async def _wait_for_stop(self) -> None:
        """Drain: return only when no work is open any more.

        Callers may use this host's address until their answer lapses, so
        that the host goes on accepting for that long.
        """
        await self._stopping.wait()
        self._enter(model.HostState.DRAINING)
        await self._foundation.hand_over()
        drain = self._settings.drain
        await anyio.sleep(drain.accept_ms / 1_000)
        limit_s = drain.limit_ms / 1_000 if drain.limit_ms else None
        with anyio.move_on_after(limit_s):
            await self._open_work.wait_empty()


def _quiet_collector() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
