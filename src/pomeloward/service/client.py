"""A host's slots of all services."""

import collections.abc
import contextlib
import random

import anyio
import anyio.abc

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from pomeloward.service import channel as channel_
from pomeloward.service import demand
from pomeloward.service import hostslots
from pomeloward.service import messages
from pomeloward.service import slothold
from pomeloward.service import tuning as tuning_

# An answer takes a round trip of at most 10 ms; a report without one is
# repeated before the loan, which lasts 2.9 s, comes near its end.
_ASK_TIMEOUT_MS = 250.0
_NO_ROUTE = model.RouteId("")

Clock = collections.abc.Callable[[], float]
PartitionOf = collections.abc.Callable[
    [catalog.Region, str], model.PartitionId
]
# Connects to a target once; False when it cannot be reached.
Probe = collections.abc.Callable[
    [model.TargetId], collections.abc.Awaitable[bool]
]


class ServiceClient:
    """Lends slots of services to requests of this host.

    ``run`` has to be running; a channel to a service's controller opens with
    the first request for it.
    """

    def __init__(
        self,
        host: model.HostId,
        region: model.RegionId,
        incarnation: model.Incarnation,
        peers: peer.Peers,
        owners: ownership.OwnerLookup,
        partition_of: PartitionOf,
        clock: Clock,
        rng: random.Random,
        tuning: tuning_.Tuning | None = None,
        probe: Probe | None = None,
    ) -> None:
        self._host = host
        self._region = region
        self._incarnation = incarnation
        self._peers = peers
        self._owners = owners
        self._partition_of = partition_of
        self._clock = clock
        self._rng = rng
        self._tuning = tuning or tuning_.Tuning()
        self._probe = probe
        self._view: catalog.View | None = None
        self._channels: dict[model.ServiceId, channel_.Channel] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._local: peer.MessageHandler | None = None
        peers.register_handler(messages.Nudge, self._on_nudge)

    def set_local(self, handler: peer.MessageHandler) -> None:
        """Set the handler of reports for services that this host owns."""
        self._local = handler

    def configure(self, view: catalog.View) -> None:
        """Take a configuration; new work for stopped targets ends now."""
        self._view = view
        for service, channel in self._channels.items():
            self._configure(channel, service)
            channel.report_now()

    def watch(
        self,
        service: model.ServiceId,
        callback: collections.abc.Callable[[], None],
    ) -> None:
        """Call back whenever slots of a service may have come free."""
        self._channel(service).on_slots.append(callback)

    def try_acquire(
        self,
        service: model.ServiceId,
        avoid: collections.abc.Set[model.TargetId] = frozenset(),
        route: model.RouteId = _NO_ROUTE,
        team: model.TeamId = demand.DEFERRABLE,
    ) -> slothold.SlotHold | None:
        """Take an idle slot of a service, or None while there is none.

        Latencies are compared within ``route``, and the run counts as
        demand of ``team``.
        """
        return self._channel(service).acquire(route, team, avoid)

    def wanted(
        self,
        service: model.ServiceId,
        waiting: collections.abc.Mapping[model.TeamId, int],
    ) -> None:
        """Set how many requests of each team wait for a slot here."""
        self._channel(service).wanted(waiting)

    def usual_run_ms(self, service: model.ServiceId) -> float:
        """Return how long a request of a service usually holds its slot."""
        return self._channel(service).slots.runs.usual_ms

    async def run(self) -> None:
        """Exchange reports with controllers until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for service, channel in self._channels.items():
                self._start(service, channel)
            await anyio.sleep_forever()

    def _channel(self, service: model.ServiceId) -> channel_.Channel:
        channel = self._channels.get(service)
        if channel is None:
            slots = hostslots.HostSlots(
                service, self._incarnation, self._tuning, self._rng
            )
            channel = channel_.Channel(slots, self._tuning, self._clock)
            self._channels[service] = channel
            self._configure(channel, service)
            self._start(service, channel)
        return channel

    def _start(
        self, service: model.ServiceId, channel: channel_.Channel
    ) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(
                channel.run, lambda report: self._send(service, report)
            )

    def _configure(
        self, channel: channel_.Channel, service: model.ServiceId
    ) -> None:
        view = self._view
        entry = view.service(service) if view is not None else None
        if view is None or entry is None:
            return
        shares = view.shares(service)
        slots = {}
        stopped = []
        for target in view.targets(service):
            slots[target.id] = target.slots or entry.slots_per_target
            zone = view.zone(target.zone)
            is_out = zone is not None and zone.is_out
            has_share = not shares or shares.get(target.site, 0.0) > 0.0
            if target.is_leaving or is_out or not has_share:
                stopped.append(target.id)
        channel.slots.configure(slots, stopped)

    async def _send(
        self, service: model.ServiceId, report: messages.Report
    ) -> messages.Answer | None:
        answer = await self._ask(service, report)
        if not isinstance(answer, messages.Answer):
            return None
        if self._probe is not None and self._tasks is not None:
            ids = self._channels[service].slots.table()
            for index in answer.probes if answer.is_agreed else ():
                self._tasks.start_soon(self._run_probe, service, ids[index])
        return answer

    async def _ask(
        self, service: model.ServiceId, report: messages.Report
    ) -> peer.Message | None:
        region = self._view.region(self._region) if self._view else None
        if region is None:
            return None
        partition = self._partition_of(region, service)
        owner = self._owners.owner_of(partition, self._clock())
        if owner is None:
            return None
        if owner == self._host:
            if self._local is None:
                return None
            return self._local(self._host, report, self._clock())
        with contextlib.suppress(model.PeerUnavailable):
            return await self._peers.request(owner, report, _ASK_TIMEOUT_MS)
        return None

    async def _run_probe(
        self, service: model.ServiceId, target: model.TargetId
    ) -> None:
        if self._probe is None or await self._probe(target):
            return
        channel = self._channels[service]
        channel.slots.unreachable(target, self._clock())
        channel.report_now()

    def _on_nudge(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        if isinstance(message, messages.Nudge):
            channel = self._channels.get(message.service)
            if channel is not None:
                channel.report_now()
