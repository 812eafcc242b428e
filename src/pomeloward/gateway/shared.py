"""The parts that hosts share: rates, slots and the queue in front."""

import random

import anyio
import anyio.abc

from pomeloward import budget
from pomeloward import catalog
from pomeloward import entry
from pomeloward import model
from pomeloward import ownership
from pomeloward import queue
from pomeloward import service
from pomeloward import settings
from pomeloward.gateway import fleetorders
from pomeloward.gateway import foundation as foundations
from pomeloward.gateway import localorders


class Shared:
    """Builds rates and slots upon a foundation and runs them."""

    def __init__(
        self,
        host_settings: settings.Settings,
        foundation: foundations.Foundation,
        probe: service.Probe,
        incarnation: model.Incarnation,
        rng: random.Random,
    ) -> None:
        self._foundation = foundation
        host = host_settings.host
        region = model.RegionId(host_settings.region)
        peers = foundation.peers
        owners = foundation.owners
        places = budget.Directory(
            host,
            lambda: foundation.view,
            owners,
            ownership.portion_partition,
        )
        self._lending = budget.LenderShell(peers, owners, places)
        self.budget = budget.BudgetClient(
            host, peers, self._lending, places, rng
        )
        self.controllers = service.Controllers(
            host,
            region,
            peers,
            owners,
            ownership.partition_of,
            model.now_ms,
            rng,
        )
        self.slots = service.ServiceClient(
            host,
            region,
            incarnation,
            peers,
            owners,
            ownership.partition_of,
            model.now_ms,
            rng,
            probe=probe,
        )
        self.slots.set_local(self.controllers.handle_report)
        self.controllers.on_local_nudge = lambda nudge: peers.notify(
            host, nudge
        )
        self.admission = queue.Admission(self.slots, model.now_ms)
        self.users: list[ownership.PartitionUser] = [
            self._lending,
            self.controllers,
        ]
        self._claims: fleetorders.FleetOrders | None = None
        self.orders: entry.Orders = localorders.LocalOrders()
        if host_settings.platform_url:
            self._claims = fleetorders.FleetOrders(
                host_settings, foundation, rng
            )
            self.orders = self._claims.client
            self.users.append(self._claims.shell)
        foundation.on_view(self._configure)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the loops of all parts until cancelled."""
        self._configure(self._foundation.view)
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.budget.run)
            tasks.start_soon(self.controllers.run)
            tasks.start_soon(self.slots.run)
            if self._claims is not None:
                await tasks.start(self._claims.run)
            task_status.started()

    def _configure(self, view: catalog.View) -> None:
        now = model.now_ms()
        self._lending.on_configuration(now)
        self.controllers.configure(view, now)
        self.slots.configure(view)
        if self._claims is not None:
            self._claims.shell.on_configuration(now)
