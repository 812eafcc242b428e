"""The composition root of a host on the users' platform."""

import collections.abc
import gc
import signal
import time
import typing

import anyio
import eliot
import msgspec

from pomeloward import fleet
from pomeloward import model
from pomeloward import relay
from pomeloward import replica
from pomeloward import settings
from pomeloward.edge import capacity
from pomeloward.edge import lag as lags
from pomeloward.edge import listener as listeners
from pomeloward.edge import load as loads
from pomeloward.edge import pages
from pomeloward.edge import parts as parts_
from pomeloward.edge import stop as stops

# The default threshold of 700 starts a collection in the middle of about
# every tenth request; freezing keeps the start's objects out of all of them.
_GC_THRESHOLDS = (50_000, 20, 100)
# Part of the descriptors for callers; the rest is for targets and peers.
_CALLER_CONNECTIONS_RATIO = 0.6
_HEAD_BYTES = 65_536
_TICK_S = 0.1
# How often the settings file is looked at for silent changes.
_RELOAD_S = 1.0
# Fields that take effect without a restart.
_RELOADED = frozenset(
    {"seeds", "bounds", "cores", "link_mbps", "is_first_start"}
)

LoadSettings = collections.abc.Callable[[], settings.EdgeSettings]
Loop = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Node:
    """Builds the parts of a host, runs them and stops them gracefully.

    Example::

        node = Node(load, source, dialect, directory, metrics_port=9_464)
        await node.run()
    """

    def __init__(
        self,
        load: LoadSettings,
        source: replica.StoreClient,
        dialect: relay.HttpConventions,
        directory: pages.DirectoryFormat,
        metrics_port: int,
    ) -> None:
        """Take the settings and what speaks to the platform.

        Raises ``SettingsError``. ``load`` reads the settings anew.
        """
        self._load = load
        self._settings = load()
        self._source = source
        self._dialect = dialect
        self._directory = directory
        self._metrics_port = metrics_port
        self._stop: stops.Stop | None = None
        self._parts: parts_.Parts | None = None

    async def run(self) -> None:
        """Serve until a signal asks for a graceful stop."""
        given = self._settings
        incarnation = model.Incarnation(time.time_ns() // 1_000_000)
        eliot.log_message(
            message_type="start",
            host=given.host,
            name=given.name,
            zone=given.zone,
            incarnation=incarnation,
        )
        parts = parts_.Parts(
            given,
            incarnation,
            self._source,
            self._dialect,
            lambda: self._settings.bounds,
        )
        self._parts = parts
        listening = self._listeners(parts)
        try:
            await self._run_loops(parts, listening)
        finally:
            with anyio.CancelScope(shield=True):
                for listener in listening:
                    await listener.close()
                await parts.links.aclose()
        eliot.log_message(message_type="stop", host=given.host)

    def stop(self) -> None:
        """Begin the graceful stop."""
        if self._stop is not None or self._parts is None:
            return
        self._stop = stops.Stop(model.now_ms(), self._settings.bounds.stop_ms)
        self._parts.app.is_draining = True
        self._parts.beating.set_state(fleet.MemberState.DRAINING)
        eliot.log_message(
            message_type="drain", open_requests=self._parts.open.count
        )

    def _listeners(
        self, parts: parts_.Parts
    ) -> tuple[listeners.Listener, ...]:
        """Return what listens for callers and for questions."""
        given = self._settings
        own = pages.Pages(
            parts.roster,
            given.callers.port,
            given.bounds.address_ms,
            self._directory,
            parts.metrics,
        )
        metrics = settings.Endpoint(
            given.callers.ip_address, self._metrics_port
        )
        callers = listeners.Listener(
            parts.app,
            given.callers,
            int(given.descriptors * _CALLER_CONNECTIONS_RATIO),
            _HEAD_BYTES,
            parts.caller_times,
        )
        return (
            callers,
            *(
                listeners.Listener(
                    own, endpoint, given.descriptors, _HEAD_BYTES
                )
                for endpoint in (given.ready, given.directory, metrics)
            ),
        )

    async def _run_loops(
        self,
        parts: parts_.Parts,
        listening: collections.abc.Sequence[listeners.Listener],
    ) -> None:
        """Run all loops until the stop is over."""
        given = self._settings
        loops: tuple[Loop, ...] = (
            parts.reader.run,
            parts.feed.run,
            parts.beating.run,
            parts.sharing.run,
            parts.placement.run,
            parts.links.run,
            self._watch_signals,
            self._watch_settings,
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(
                parts.peers.run, given.peers.ip_address, given.peers.port
            )
            for listener in listening:
                await listener.start()
            for loop in loops:
                tasks.start_soon(loop)
            await self._serve_until_stopped(parts)
            tasks.cancel_scope.cancel()

    async def _serve_until_stopped(self, parts: parts_.Parts) -> None:
        load = loads.Load()
        lag = lags.Lag(model.now_ms())
        while True:
            began_ms = model.now_ms()
            await anyio.sleep(_TICK_S)
            now_ms = model.now_ms()
            _become_ready(parts)
            load.observe(parts.open.started_count, _TICK_S)
            lag.observe(now_ms - began_ms - _TICK_S * 1_000, now_ms)
            self._offer(parts, load, lag, now_ms)
            if self._stop is None:
                continue
            if self._stop.refuses_new(now_ms):
                parts.close()
            is_idle = parts.open.is_idle(stops.QUIET_MS, now_ms)
            if self._stop.is_over(is_idle, now_ms):
                return

    def _offer(
        self,
        parts: parts_.Parts,
        load: loads.Load,
        lag: lags.Lag,
        now_ms: float,
    ) -> None:
        """Let the fleet know this host's load and what it can carry."""
        own = parts.roster.own_member
        is_slow = lag.is_slow(now_ms)
        offered_per_s = capacity.capacity_per_s(self._settings, is_slow)
        parts.roster.own_member = msgspec.structs.replace(
            own, load_per_s=int(load.per_s), capacity_per_s=offered_per_s
        )
        if offered_per_s != own.capacity_per_s:
            eliot.log_message(
                message_type="capacity",
                capacity_per_s=offered_per_s,
                is_slow=is_slow,
                timer_late_ms=round(lag.mean_ms, 1),
            )
            parts.beating.send_heartbeats(now_ms)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for received in signals:
                if received == signal.SIGHUP:
                    self._reload()
                else:
                    self.stop()

    async def _watch_settings(self) -> None:
        """Take settings that changed without a signal."""
        while True:
            await anyio.sleep(_RELOAD_S)
            self._reload()

    def _reload(self) -> None:
        try:
            found = self._load()
        except model.SettingsError as error:
            eliot.log_message(
                message_type="reload:rejected", reason=str(error)
            )
            return
        if found == self._settings or self._parts is None:
            return
        changed = found.changed_from(self._settings)
        self._settings = found
        self._parts.roster.set_seeds(found.seeds)
        eliot.log_message(
            message_type="reload",
            changed=changed,
            needs_restart=[one for one in changed if one not in _RELOADED],
        )


def _become_ready(parts: parts_.Parts) -> None:
    if parts.roster.own_member.state is not fleet.MemberState.STARTING:
        return
    if parts.replica.policy is None:
        return
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    parts.beating.set_state(fleet.MemberState.READY)
    eliot.log_message(
        message_type="ready", version=parts.replica.policy.version
    )
