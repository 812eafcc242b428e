"""Claims of orders in a fleet."""

import random

import anyio
import anyio.abc

from pomeloward import model
from pomeloward import orders
from pomeloward import settings
from pomeloward.gateway import foundation as foundations


class FleetOrders:
    """Builds the owner's, the voter's and the client's side of orders.

    It is made inside the running loop, since the voter's memory counts from
    the start of the process.
    """

    def __init__(
        self,
        host_settings: settings.Settings,
        foundation: foundations.Foundation,
        rng: random.Random,
    ) -> None:
        host = host_settings.host
        secret = host_settings.fleet_secret.encode("utf-8")
        ids = orders.OrderIds(secret)
        self.shell = orders.OrderShell(
            host,
            foundation.peers,
            foundation.owners,
            lambda: foundation.view,
            orders.Electorates(lambda: foundation.view),
            ids,
            anyio.current_time() * 1_000,
        )
        self.client = orders.OrderClient(
            host,
            model.RegionId(host_settings.region),
            lambda: foundation.view,
            orders.OrderCaller(
                host, foundation.peers, foundation.owners, self.shell
            ),
            ids,
            rng,
        )

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run both sides until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.shell.run)
            await tasks.start(self.client.run)
            task_status.started()
