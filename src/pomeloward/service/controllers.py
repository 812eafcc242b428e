"""The controllers of the services whose partitions a host owns."""

import collections.abc
import random

import anyio
import msgspec

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from pomeloward.service import controller as controller_
from pomeloward.service import messages
from pomeloward.service import targetstate
from pomeloward.service import tuning as tuning_

# Targets are judged four times a second; nudges wait at most this long.
_TICK_MS = 50.0

PartitionOf = collections.abc.Callable[
    [catalog.Region, str], model.PartitionId
]


class Controllers:
    """User of partitions: one controller for each service in them.

    Whether this host still owns the partition is checked before each answer.
    After an export nothing is lent until the partition is acquired again.
    """

    name = "service"

    def __init__(
        self,
        host: model.HostId,
        region: model.RegionId,
        peers: peer.Peers,
        owners: ownership.OwnerLookup,
        partition_of: PartitionOf,
        clock: collections.abc.Callable[[], float],
        rng: random.Random,
        tuning: tuning_.Tuning | None = None,
    ) -> None:
        self._host = host
        self._region = region
        self._peers = peers
        self._owners = owners
        self._partition_of = partition_of
        self._clock = clock
        self._rng = rng
        self._tuning = tuning or tuning_.Tuning()
        self._view: catalog.View | None = None
        self._held: dict[model.PartitionId, model.Epoch] = {}
        self._controllers: dict[model.ServiceId, controller_.Controller] = {}
        self._noted: dict[model.ServiceId, bytes] = {}
        self.on_change: collections.abc.Callable[
            [model.ServiceId, model.TargetId, str], None
        ] = lambda service, target, reason: None
        self.on_local_nudge: collections.abc.Callable[
            [messages.Nudge], None
        ] = lambda nudge: None
        peers.register_handler(messages.Report, self.handle_report)

    def controller(
        self, service: model.ServiceId
    ) -> controller_.Controller | None:
        """Return the controller of a service if this host has it."""
        return self._controllers.get(service)

    def configure(self, view: catalog.View, now_ms: float) -> None:
        """Take a configuration; new services get their controllers."""
        self._view = view
        for controller in self._controllers.values():
            controller.configure(view, now_ms)
        for service in view.services():
            partition = self._partition(service.id)
            if service.id not in self._controllers and partition in self._held:
                self._start(service.id, self._held[partition], None, now_ms)

    def on_acquired(
        self,
        partition: model.PartitionId,
        epoch: model.Epoch,
        state: bytes | None,
        now_ms: float,
    ) -> None:
        """Start controllers for the services of a partition."""
        self._held[partition] = epoch
        handed = (
            {}
            if state is None
            else msgspec.msgpack.decode(state, type=dict[str, bytes])
        )
        for service in self._services(partition):
            self._start(service, epoch, handed.get(service), now_ms)

    def on_lost(self, partition: model.PartitionId, now_ms: float) -> None:
        """Drop the controllers of a partition."""
        self._held.pop(partition, None)
        self._drop(partition)

    def export(self, partition: model.PartitionId, now_ms: float) -> bytes:
        """Return the controllers' state, and lend nothing more."""
        states = {
            service: self._controllers[service].export(now_ms)
            for service in self._services(partition)
            if service in self._controllers
        }
        self._drop(partition)
        return msgspec.msgpack.encode(states)

    def handle_report(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> peer.Message | None:
        """Answer a host's report if this host has the controller."""
        if not isinstance(message, messages.Report):
            return None
        controller = self._controllers.get(message.service)
        partition = self._partition(message.service)
        epoch = partition and self._owners.holds(partition, now_ms)
        if controller is None or epoch != controller.epoch:
            return messages.Answer(
                epoch=0,
                sequence=message.sequence,
                is_agreed=False,
                clock_ms=now_ms,
            )
        answer = controller.report(host, message, now_ms)
        self._nudge(controller, now_ms)
        return answer

    async def run(self) -> None:
        """Advance the controllers until cancelled."""
        while True:
            await anyio.sleep(_TICK_MS / 1000)
            now_ms = self._clock()
            for controller in list(self._controllers.values()):
                controller.tick(now_ms)
                self._note_changes(controller, now_ms)
                self._nudge(controller, now_ms)

    def _note_changes(
        self, controller: controller_.Controller, now_ms: float
    ) -> None:
        """Tell each change of a target's state with its evidence."""
        records = controller.targets.records
        states = bytes(record.state for record in records)
        before = self._noted.get(controller.service, b"")
        if states == before:
            return
        self._noted[controller.service] = states
        if len(before) != len(states):
            return
        span_ms = max(self._tuning.windows_ms)
        for record, old, new in zip(records, before, states, strict=True):
            if old != new:
                sums = record.window.sums(span_ms, now_ms)
                reason = (
                    f"{targetstate.TargetState(old).name} to "
                    f"{targetstate.TargetState(new).name}: {sums.describe()}"
                )
                self.on_change(controller.service, record.id, reason)

    def _nudge(
        self, controller: controller_.Controller, now_ms: float
    ) -> None:
        for host in controller.nudges(now_ms):
            nudge = messages.Nudge(
                service=controller.service, epoch=controller.epoch
            )
            if host == self._host:
                self.on_local_nudge(nudge)
            else:
                self._peers.notify(host, nudge)

    def _start(
        self,
        service: model.ServiceId,
        epoch: model.Epoch,
        state: bytes | None,
        now_ms: float,
    ) -> None:
        if self._view is None:
            return
        controller = controller_.Controller(
            service, self._region, epoch, self._tuning, self._rng
        )
        controller.start(self._view, state, now_ms)
        self._controllers[service] = controller

    def _drop(self, partition: model.PartitionId) -> None:
        for service in self._services(partition):
            self._controllers.pop(service, None)
            self._noted.pop(service, None)

    def _services(self, partition: model.PartitionId) -> list[model.ServiceId]:
        if self._view is None:
            return []
        return [
            service.id
            for service in self._view.services()
            if self._partition(service.id) == partition
        ]

    def _partition(self, service: model.ServiceId) -> model.PartitionId | None:
        region = self._view.region(self._region) if self._view else None
        if region is None:
            return None
        return self._partition_of(region, service)
