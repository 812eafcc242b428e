"""A request whose slow first attempt may get a second one."""

import anyio

from pomeloward.dispatch import answer as answers
from pomeloward.dispatch import hedgebudget
from pomeloward.dispatch import request as requests
from pomeloward.dispatch import sender as senders
from pomeloward.dispatch import steps


class Race:
    """The first good answer of two attempts counts; the other is ended.

    The first attempt runs in the task of the request, inside ``scope``,
    which the second one cancels when it wins.
    """

    def __init__(
        self,
        request: requests.TargetRequest,
        hold: steps.SlotHold,
        budget: hedgebudget.HedgeBudget,
        due_ms: float,
    ) -> None:
        self.request = request
        self.hold = hold
        self.budget = budget
        self.due_ms = due_ms
        self.scope = anyio.CancelScope()
        self.second: senders.AttemptResult | None = None
        self._second_scope: anyio.CancelScope | None = None
        self._second_done = anyio.Event()
        self._is_over = False

    async def run_second(
        self, sender: senders.Sender, spare: steps.SlotHold
    ) -> None:
        """Run the second attempt in a task of its own."""
        try:
            with self._second_scope or anyio.CancelScope():
                result = await sender.send(self.request, spare)
                if self._is_over:
                    await result.discard()
                    return
                self.second = result
                if isinstance(result, answers.Answer):
                    self.scope.cancel()
        finally:
            self._second_done.set()

    def expect_second(self) -> None:
        """Note that the second attempt's task is about to start."""
        self._second_scope = anyio.CancelScope()

    async def finish(
        self, first: senders.AttemptResult | None
    ) -> senders.AttemptResult:
        """Choose between the attempts after the first one has ended.

        ``first`` is None when the second one won.
        """
        if not isinstance(first, answers.Answer) and self._second_scope:
            await self._second_done.wait()
        self._is_over = True
        chosen, other = first, self.second
        if isinstance(other, answers.Answer) and not isinstance(
            first, answers.Answer
        ):
            chosen, other = other, first
        if self._second_scope is not None:
            self._second_scope.cancel()
        if other is not None:
            await other.discard()
        assert chosen is not None
        return chosen

    async def abandon(self) -> None:
        """End the second attempt of a request that is itself ended."""
        self._is_over = True
        if self._second_scope is not None:
            self._second_scope.cancel()
        if self.second is not None:
            await self.second.discard()
