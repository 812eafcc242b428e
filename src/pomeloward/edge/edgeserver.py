"""Runs a host from its startup to the end of its graceful shutdown."""

import collections.abc
import gc
import signal
import time

import anyio
import eliot
import msgspec

from pomeloward import fleet
from pomeloward import model
from pomeloward import observability
from pomeloward import relay
from pomeloward import replica
from pomeloward import settings
from pomeloward.edge import capacity
from pomeloward.edge import hostcomponents
from pomeloward.edge import hostinfo
from pomeloward.edge import httplistener
from pomeloward.edge import looplag
from pomeloward.edge import requestrate
from pomeloward.edge import shutdownschedule
from pomeloward.edge import supervisor

# With the default threshold of 700, a garbage collection starts during about
# every tenth request. The objects of the startup are excluded from all
# collections by ``gc.freeze``.
_GC_THRESHOLDS = (50_000, 20, 100)
# Ratio of the file descriptors that are for callers; the others are for
# targets and peers.
_CALLER_DESCRIPTORS_RATIO = 0.6
# Ratio of those that are for requests which peers relay.
_RELAY_DESCRIPTORS_RATIO = 0.1
_MAX_HEADER_BYTES = 65_536
_TICK_INTERVAL_S = 0.1
# A host without requests has nothing to measure. Most hosts of a large fleet
# are in this state, so that their cost is that of their timers.
_IDLE_TICK_INTERVAL_S = 0.5
# How long the last responses have to reach their callers.
_LAST_BYTES_S = 0.1
# Without a request for this long a host is idle.
_IDLE_AFTER_MS = 2_000.0
# The settings file is polled for changes that no SIGHUP announces.
_SETTINGS_POLL_INTERVAL_S = 1.0
# Settings whose changes need no restart.
_RELOADABLE_FIELDS = frozenset(
    {"seeds", "bounds", "cores", "link_mbps", "is_first_start"}
)

SettingsLoader = collections.abc.Callable[[], settings.EdgeSettings]


class EdgeServer:
    """Builds a host's components, runs them and shuts them down gracefully.

    Example::

        server = EdgeServer(
            load_settings,
            store_client,
            http_conventions,
            lookup_format,
            metrics_port=9_464,
        )
        await server.run()
    """

    def __init__(
        self,
        load_settings: SettingsLoader,
        store_client: replica.StoreClient,
        http_conventions: relay.HttpConventions,
        lookup_format: hostinfo.AddressLookupProtocol,
        metrics_port: int,
    ) -> None:
        """Load the settings; raise ``SettingsError`` if they are invalid.

        ``load_settings`` is called again for each reload. ``store_client``
        reads the platform's store. ``http_conventions`` has the platform's
        header names, and ``lookup_format`` its address lookup.
        """
        self._load_settings = load_settings
        self._settings = load_settings()
        self._store_client = store_client
        self._http_conventions = http_conventions
        self._lookup_format = lookup_format
        self._metrics_port = metrics_port
        self._shutdown: shutdownschedule.ShutdownSchedule | None = None
        self._shutdown_started = anyio.Event()
        self._components: hostcomponents.HostComponents | None = None

    async def run(self) -> None:
        """Serve requests until a graceful shutdown has ended.

        SIGTERM and SIGINT start the shutdown.
        """
        host_settings = self._settings
        incarnation = model.Incarnation(time.time_ns() // 1_000_000)
        eliot.log_message(
            message_type="start",
            host=host_settings.host,
            name=host_settings.name,
            zone=host_settings.zone,
            incarnation=incarnation,
        )
        components = hostcomponents.HostComponents(
            host_settings,
            incarnation,
            self._store_client,
            self._http_conventions,
            lambda: self._settings.bounds,
        )
        self._components = components
        listeners = self._make_listeners(components)
        try:
            await self._run_until_shutdown(components, listeners)
        finally:
            with anyio.CancelScope(shield=True):
                for listener in listeners:
                    await listener.close()
                await components.target_links.aclose()
                await components.peer_links.aclose()
        eliot.log_message(message_type="stop", host=host_settings.host)

    def start_shutdown(self) -> None:
        """Start the graceful shutdown, unless it has started already."""
        if self._shutdown is not None or self._components is None:
            return
        self._shutdown = shutdownschedule.ShutdownSchedule(
            model.now_ms(), self._settings.bounds.termination_grace_ms
        )
        self._shutdown_started.set()
        self._components.app.is_draining = True
        self._components.relay_app.is_draining = True
        self._components.heartbeats.set_state(fleet.MemberState.DRAINING)
        self._components.peers.announce_stop()
        eliot.log_message(
            message_type="drain",
            open_requests=self._components.open_requests.count,
        )

    def _make_listeners(
        self, components: hostcomponents.HostComponents
    ) -> tuple[httplistener.HttpListener, ...]:
        """Return the listeners for requests and for information on hosts."""
        host_settings = self._settings
        host_info = hostinfo.HostInfoApplication(
            components.membership,
            host_settings.callers.port,
            host_settings.bounds.max_address_ttl_ms,
            self._lookup_format,
            components.metrics,
        )
        metrics_endpoint = settings.Endpoint(
            host_settings.callers.ip_address, self._metrics_port
        )
        request_listener = httplistener.HttpListener(
            components.app,
            host_settings.callers,
            int(host_settings.descriptors * _CALLER_DESCRIPTORS_RATIO),
            _MAX_HEADER_BYTES,
            components.caller_timeouts,
        )
        relay_listeners = (
            ()
            if host_settings.relay is None
            else (
                httplistener.HttpListener(
                    components.relay_app,
                    host_settings.relay,
                    int(host_settings.descriptors * _RELAY_DESCRIPTORS_RATIO),
                    2 * _MAX_HEADER_BYTES,
                ),
            )
        )
        return (
            request_listener,
            *relay_listeners,
            *(
                httplistener.HttpListener(
                    host_info,
                    endpoint,
                    host_settings.descriptors,
                    _MAX_HEADER_BYTES,
                )
                for endpoint in (
                    host_settings.ready,
                    host_settings.directory,
                    metrics_endpoint,
                )
            ),
        )

    async def _run_until_shutdown(
        self,
        components: hostcomponents.HostComponents,
        listeners: collections.abc.Sequence[httplistener.HttpListener],
    ) -> None:
        """Run listeners and background tasks until the shutdown has ended."""
        host_settings = self._settings
        background_tasks: dict[str, supervisor.BackgroundTask] = {
            "store_poller": components.store_poller.run,
            "replicator": components.replicator.run,
            "heartbeats": components.heartbeats.run,
            "fleet_sync": components.fleet_sync.run,
            "slot_allocator": components.slot_allocator.run,
            "target_links": components.target_links.run,
            "peer_links": components.peer_links.run,
            "path_watcher": components.path_watcher.run,
            "signals": self._handle_signals,
            "settings": self._poll_settings,
        }
        async with anyio.create_task_group() as task_group:
            await task_group.start(
                components.peers.run,
                host_settings.peers.ip_address,
                host_settings.peers.port,
            )
            for listener in listeners:
                await listener.start()
            for name, task in background_tasks.items():
                task_group.start_soon(supervisor.run_supervised, name, task)
            await self._tick_until_shutdown(components)
            await self._end_connections(components, listeners)
            task_group.cancel_scope.cancel()

    async def _end_connections(
        self,
        components: hostcomponents.HostComponents,
        listeners: collections.abc.Sequence[httplistener.HttpListener],
    ) -> None:
        """Refuse new connections, and end the open requests.

        Callers that know no better may still have sent some. The rest of the
        host works on until these are answered.
        """
        for listener in listeners:
            listener.stop_accepting()
            listener.close_idle()
        shutdown = self._shutdown
        if shutdown is None:
            return
        for deadline_ms in (
            shutdown.refuse_waiting_ms,
            shutdown.latest_exit_ms,
        ):
            with anyio.CancelScope(deadline=deadline_ms / 1_000):
                await components.open_requests.wait_until_none()
            components.slot_allocator.refuse_all()
        with anyio.move_on_after(_LAST_BYTES_S):
            for listener in listeners:
                await listener.wait_until_unused()
        eliot.log_message(
            message_type="exit",
            open_requests=components.open_requests.count,
            open_connections=sum(map(len, listeners)),
            remaining_ms=round(shutdown.latest_exit_ms - model.now_ms()),
        )

    async def _tick_until_shutdown(
        self, components: hostcomponents.HostComponents
    ) -> None:
        """Update readiness, load and capacity until the shutdown has ended."""
        request_rate = requestrate.RequestRate()
        lag_monitor = looplag.LoopLagMonitor(model.now_ms())
        while True:
            interval_s = self._tick_interval_s(components)
            sleep_started_ms = model.now_ms()
            if interval_s > _TICK_INTERVAL_S:
                with anyio.move_on_after(interval_s):
                    await self._shutdown_started.wait()
            else:
                await anyio.sleep(interval_s)
            now_ms = model.now_ms()
            request_rate.update_mean(
                components.open_requests.started_count,
                max(interval_s, (now_ms - sleep_started_ms) / 1_000),
            )
            lag_monitor.record_delay(
                now_ms - sleep_started_ms - interval_s * 1_000, now_ms
            )
            try:
                _set_ready_if_configured(components)
                self._publish_load_and_capacity(
                    components, request_rate, lag_monitor, now_ms
                )
            except Exception as error:  # noqa: BLE001
                supervisor.log_task_failure("tick", error)
            if self._shutdown is None:
                continue
            if now_ms >= self._shutdown.refuse_waiting_ms:
                components.slot_allocator.refuse_all()
            if self._shutdown.refuses_long_requests(now_ms):
                components.refuse_requests_beyond(
                    self._shutdown.latest_exit_ms
                )
            is_idle = components.open_requests.is_idle(
                shutdownschedule.IDLE_BEFORE_EXIT_MS, now_ms
            )
            if self._shutdown.should_exit(is_idle, now_ms):
                return

    def _tick_interval_s(
        self, components: hostcomponents.HostComponents
    ) -> float:
        """Return the time to the next tick, longer on an idle host."""
        is_idle = (
            self._shutdown is None
            and components.membership.own_member.state
            is fleet.MemberState.READY
            and components.open_requests.is_idle(
                _IDLE_AFTER_MS, model.now_ms()
            )
        )
        return _IDLE_TICK_INTERVAL_S if is_idle else _TICK_INTERVAL_S

    def _publish_load_and_capacity(
        self,
        components: hostcomponents.HostComponents,
        request_rate: requestrate.RequestRate,
        lag_monitor: looplag.LoopLagMonitor,
        now_ms: float,
    ) -> None:
        """Update this host's load and capacity in its fleet member.

        Heartbeats carry the member to other hosts; a changed capacity is
        sent at once.
        """
        own_member = components.membership.own_member
        is_slow = lag_monitor.is_slow(now_ms)
        capacity_per_s = capacity.estimate_capacity_per_s(
            self._settings, is_slow
        )
        components.membership.own_member = msgspec.structs.replace(
            own_member,
            load_per_s=int(request_rate.mean_per_s),
            capacity_per_s=capacity_per_s,
        )
        if capacity_per_s != own_member.capacity_per_s:
            eliot.log_message(
                message_type="capacity",
                capacity_per_s=capacity_per_s,
                is_slow=is_slow,
                timer_late_ms=round(lag_monitor.mean_delay_ms, 1),
            )
            components.heartbeats.send_heartbeats(now_ms)

    async def _handle_signals(self) -> None:
        """Reload the settings on SIGHUP; shut down on SIGTERM and SIGINT."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for received in signals:
                if received == signal.SIGHUP:
                    self._reload_settings()
                else:
                    self.start_shutdown()

    async def _poll_settings(self) -> None:
        """Reload the settings regularly, until cancelled."""
        while True:
            await anyio.sleep(_SETTINGS_POLL_INTERVAL_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply changed settings; invalid ones are logged and ignored."""
        try:
            loaded = self._load_settings()
        except model.SettingsError as error:
            eliot.log_message(
                message_type="reload:rejected", reason=str(error)
            )
            return
        if loaded == self._settings or self._components is None:
            return
        changed_fields = loaded.changed_field_names(self._settings)
        self._settings = loaded
        self._components.membership.set_seeds(loaded.seeds)
        eliot.log_message(
            message_type="reload",
            changed=changed_fields,
            needs_restart=[
                field
                for field in changed_fields
                if field not in _RELOADABLE_FIELDS
            ],
        )


def _set_ready_if_configured(
    components: hostcomponents.HostComponents,
) -> None:
    """Set a starting host's state to ready once it has a configuration."""
    if (
        components.membership.own_member.state
        is not fleet.MemberState.STARTING
    ):
        return
    if components.replica.policy is None:
        return
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    components.heartbeats.set_state(fleet.MemberState.READY)
    eliot.log_message(
        message_type="ready",
        version=observability.loggable_integer(
            components.replica.policy.version
        ),
    )
