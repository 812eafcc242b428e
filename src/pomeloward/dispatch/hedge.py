"""Runs a second attempt beside a slow first one."""

import anyio

from pomeloward import service
from pomeloward.dispatch import answer as answers
from pomeloward.dispatch import hedgebudget
from pomeloward.dispatch import request as requests
from pomeloward.dispatch import sender as senders
from pomeloward.dispatch import steps


class _Race:
    """Two attempts at most, of which the first good answer counts."""

    def __init__(
        self, sender: senders.Sender, request: requests.TargetRequest
    ) -> None:
        self._sender = sender
        self._request = request
        self._running = 0
        self._unstarted: list[steps.SlotHold] = []
        self.first_done = anyio.Event()
        self.done = anyio.Event()
        self.result: senders.AttemptResult | None = None
        self.error: Exception | None = None

    def enter(self, hold: steps.SlotHold) -> steps.SlotHold:
        """Count an attempt whose task is about to start."""
        self._running += 1
        self._unstarted.append(hold)
        return hold

    async def run(self, hold: steps.SlotHold) -> None:
        """Run one attempt; a late second answer is ended."""
        self._unstarted.remove(hold)
        try:
            result = await self._sender.send(self._request, hold)
        except Exception as error:  # noqa: BLE001
            # Raised again outside of the task group, which would wrap it.
            self.error = error
            self.first_done.set()
            self.done.set()
            return
        self._running -= 1
        self.first_done.set()
        if self.done.is_set():
            await result.discard()
            return
        if not isinstance(result, answers.Answer) and self._running:
            self.result = result
            return
        previous = self.result
        self.result = result
        self.done.set()
        if previous is not None:
            await previous.discard()

    def release_unstarted(self) -> None:
        """Give back slots of attempts that were cancelled unstarted."""
        for hold in self._unstarted:
            hold.release(service.Outcome.CANCELLED, 0.0)
        self._unstarted.clear()


async def send_hedged(
    sender: senders.Sender,
    spares: steps.SpareSlots,
    budget: hedgebudget.HedgeBudget,
    request: requests.TargetRequest,
    hold: steps.SlotHold,
) -> senders.AttemptResult:
    """Send an idempotent request, and once more if the answer is slow.

    The second attempt needs a spare slot of another target and budget, and
    the slower attempt is cancelled.
    """
    delay_ms = budget.delay_ms
    if delay_ms is None:
        return await sender.send(request, hold)
    race = _Race(sender, request)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(race.run, race.enter(hold))
            with anyio.move_on_after(delay_ms / 1_000):
                await race.first_done.wait()
            if not race.first_done.is_set():
                spare = _spare(spares, budget, request, hold)
                if spare is not None:
                    tasks.start_soon(race.run, race.enter(spare))
            await race.done.wait()
            tasks.cancel_scope.cancel()
    except BaseException:
        if race.result is not None:
            await race.result.discard()
        raise
    finally:
        race.release_unstarted()
    if race.error is not None:
        if race.result is not None:
            await race.result.discard()
        raise race.error
    assert race.result is not None
    return race.result


def _spare(
    spares: steps.SpareSlots,
    budget: hedgebudget.HedgeBudget,
    request: requests.TargetRequest,
    hold: steps.SlotHold,
) -> steps.SlotHold | None:
    # Two attempts can't both read a body that is still arriving.
    if not request.body.is_ended or not budget.try_take():
        return None
    return spares.try_acquire(
        request.route.service, {hold.target}, request.route.id, request.team
    )
