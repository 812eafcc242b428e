"""Starts second attempts beside slow first ones."""

import anyio
import anyio.abc

from pomeloward.dispatch import hedgebudget
from pomeloward.dispatch import race as races
from pomeloward.dispatch import request as requests
from pomeloward.dispatch import sender as senders
from pomeloward.dispatch import steps

# A hedge is at least 10 ms late by itself, so that a coarse clock is enough.
_TICK_S = 0.005


class Hedger:
    """Watches the open idempotent requests of a host for slow ones.

    One loop watches them all, since a task for each request would cost
    0.2 ms of processor time where most are answered long before.
    """

    def __init__(
        self, sender: senders.Sender, spares: steps.SpareSlots
    ) -> None:
        self._sender = sender
        self._spares = spares
        self._open: dict[races.Race, None] = {}
        self._some_open = anyio.Event()

    async def run(self) -> None:
        """Start second attempts until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._open:
                    self._some_open = anyio.Event()
                    await self._some_open.wait()
                await anyio.sleep(_TICK_S)
                now_ms = anyio.current_time() * 1_000
                for race in [r for r in self._open if r.due_ms <= now_ms]:
                    del self._open[race]
                    self._start_second(race, tasks)

    async def send(
        self,
        request: requests.TargetRequest,
        hold: steps.SlotHold,
        budget: hedgebudget.HedgeBudget,
    ) -> senders.AttemptResult:
        """Send an idempotent request, and once more if it is slow."""
        delay_ms = budget.delay_ms
        if delay_ms is None:
            return await self._sender.send(request, hold)
        due_ms = anyio.current_time() * 1_000 + delay_ms
        race = races.Race(request, hold, budget, due_ms)
        self._open[race] = None
        self._some_open.set()
        first: senders.AttemptResult | None = None
        try:
            with race.scope:
                first = await self._sender.send(request, hold)
            return await race.finish(first)
        except BaseException:
            await race.abandon()
            if first is not None:
                await first.discard()
            raise
        finally:
            self._open.pop(race, None)

    def _start_second(
        self, race: races.Race, tasks: anyio.abc.TaskGroup
    ) -> None:
        request = race.request
        if not request.body.can_share or not race.budget.try_take():
            return
        spare = self._spares.try_acquire(
            request.route.service,
            {race.hold.target},
            request.route.id,
            request.team,
        )
        if spare is not None:
            race.expect_second()
            tasks.start_soon(race.run_second, self._sender, spare)
