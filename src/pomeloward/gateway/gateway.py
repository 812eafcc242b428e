"""The composition root of a host."""

import gc
import pathlib
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
from pomeloward.gateway import fileview
from pomeloward.gateway import localaddresses
from pomeloward.gateway import localbudget
from pomeloward.gateway import localorders
from pomeloward.gateway import localslots
from pomeloward.gateway import targets

# The default threshold of 700 starts a collection in the middle of about
# every tenth request; freezing keeps the start's objects out of all of them.
_GC_THRESHOLDS = (50_000, 20, 100)
_STANDING_CHECK_S = 0.25
_POLL_S = 0.05


class Gateway:
    """Builds the parts of a host, runs them and stops them gracefully."""

    def __init__(self, host_settings: settings.Settings) -> None:
        self._settings = host_settings
        self._rng = random.Random(host_settings.host_id)  # noqa: S311
        self._view: catalog.View = fileview.load(
            pathlib.Path(host_settings.configuration_file)
        )
        self._condition = condition.Condition(
            host_settings.host, lambda: self._view, lambda now_ms: True
        )
        self._open_work = entry.OpenWork()
        self._metrics = observe.Metrics()
        self._journal = observe.Journal()
        self._stopping = anyio.Event()

    async def run(self) -> None:
        """Serve until a signal asks for a graceful stop."""
        observe.open_log(self._settings.logs.file)
        limits = self._settings.limits
        links = dispatch.Links(limits.target_idle_ms)
        app = self._application(links)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_signals)
                self._condition.state = model.HostState.READY
                _quiet_collector()
                tasks.start_soon(self._serve, app, tasks.cancel_scope)
        finally:
            with anyio.CancelScope(shield=True):
                await links.aclose()

    def stop(self) -> None:
        """Begin the graceful stop."""
        self._stopping.set()

    def configuration_changed(self, view: catalog.View) -> None:
        """Put a newer configuration in force and end withdrawn work."""
        self._view = view
        ended = self._open_work.end_withdrawn(view)
        if ended:
            self._journal.record(
                observe.Decision(
                    at_ms=anyio.current_time() * 1_000,
                    kind="keys_withdrawn",
                    reason=f"ended {ended} open requests",
                )
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

    def _application(self, links: dispatch.Links) -> entry.Application:
        limits = self._settings.limits
        view = self._condition
        logs = self._settings.logs
        log = observe.Log(logs.request_ratio, logs.refusals_per_s, self._rng)
        recorder = entry.Recorder(self._metrics, self._journal, log)
        gatekeeper = entry.Gatekeeper(self._condition, limits)
        budget = localbudget.LocalBudget(lambda: view.view)
        orders = localorders.LocalOrders()
        admission = localslots.LocalSlots(lambda: view.view)
        known = targets.Targets(lambda: view.view)
        sender = dispatch.Sender(
            known, links, limits.connect_ms, limits.stream_idle_ms
        )
        self._metrics.gauge(
            "pomeloward_open_requests", lambda: len(self._open_work)
        )
        return entry.Application(
            self._condition,
            entry.Handler(
                gatekeeper,
                orders,
                budget,
                dispatch.Dispatcher(admission, sender, self._journal),
                self._open_work,
                recorder,
                limits,
            ),
            entry.WebsocketHandler(
                gatekeeper,
                budget,
                admission,
                known,
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
        """Drain: return only when no work is open any more."""
        await self._stopping.wait()
        self._condition.state = model.HostState.DRAINING
        drain = self._settings.drain
        await anyio.sleep(drain.accept_ms / 1_000)
        limit_s = drain.limit_ms / 1_000 if drain.limit_ms else None
        with anyio.move_on_after(limit_s):
            await self._open_work.wait_empty()


def _quiet_collector() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
