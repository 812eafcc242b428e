"""One attempt of this host at an order."""

import collections.abc
import typing

import anyio

from pomeloward import model
from pomeloward.orders import caller
from pomeloward.orders import claim
from pomeloward.orders import horizon
from pomeloward.orders import messages
from pomeloward.orders import recordedanswer
from pomeloward.orders import shell

_SETTLE_PAUSE_MS = 300.0
_SETTLE_TRIES = 40

Locate = collections.abc.Callable[[model.PartitionId], model.HostId | None]
Task = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
Spawn = collections.abc.Callable[[Task], None]


class Attempt:
    """Claims an order, has it recorded, and reports its outcome."""

    def __init__(
        self,
        order: messages.Order,
        number: int,
        questions: caller.OrderCaller,
        locate: Locate,
        spawn: Spawn,
    ) -> None:
        """Prepare an attempt with a random number; nothing is sent."""
        self._order = order
        self._number = number
        self._questions = questions
        self._locate = locate
        self._spawn = spawn
        self._window = model.Lease(shell.now_ms(), horizon.CLAIM_MS)
        self._asked_voters: set[model.HostId] = set()
        self.may_be_claimed = False

    def is_timely(self) -> bool:
        """Tell whether the attempt may still become a claim."""
        return self._window.is_valid(shell.now_ms())

    async def ask(self) -> messages.ClaimAnswer | claim.Claim | None:
        """Ask the owner once; None where it could not be asked.

        An answer ``RUN`` turns into a claim when enough voters recorded the
        intent in time, and into None otherwise.
        """
        owner = self._locate(self._order.partition)
        if owner is None:
            return None
        asked_at_ms = shell.now_ms()
        self.may_be_claimed = True
        question = messages.ClaimOrder(order=self._order, attempt=self._number)
        answer = await self._questions.claim(owner, question)
        if answer is None:
            return None
        if answer.verdict is messages.Verdict.RUN:
            return await self._record(answer, asked_at_ms)
        if answer.verdict is messages.Verdict.UNAVAILABLE:
            return answer
        self.may_be_claimed = False
        if answer.verdict is messages.Verdict.RECORDED:
            return claim.Claim(answer.answer, None, self.settle)
        return answer

    async def settle(
        self,
        outcome: messages.Outcome,
        answer: recordedanswer.RecordedAnswer | None,
    ) -> None:
        """Report the outcome; goes on in the background if need be."""
        self.may_be_claimed = False
        report = messages.SettleOrder(
            order=self._order,
            attempt=self._number,
            outcome=outcome,
            answer=answer,
        )
        self._questions.tell_voters(self._asked_voters, report)
        if not await self._tell_owner(report):
            self._spawn(lambda: self._tell_owner_again(report))

    async def _record(
        self, answer: messages.ClaimAnswer, asked_at_ms: float
    ) -> claim.Claim | None:
        intent = messages.RecordIntent(
            order=self._order,
            attempt=self._number,
            term=answer.term,
            owner_now_ms=answer.owner_now_ms,
        )
        is_recorded = await self._questions.record(
            answer.electorate,
            intent,
            model.Lease(asked_at_ms, horizon.INTENT_MS),
            self._asked_voters,
        )
        # The host may have been paused since the loop of its claim checked.
        if not is_recorded or not self.is_timely():
            return None
        permit = model.Lease(asked_at_ms, answer.lifetime_ms)
        return claim.Claim(None, permit, self.settle)

    async def _tell_owner(self, report: messages.SettleOrder) -> bool:
        owner = self._locate(self._order.partition)
        if owner is None:
            return False
        return await self._questions.settle(owner, report)

    async def _tell_owner_again(self, report: messages.SettleOrder) -> None:
        for _ in range(_SETTLE_TRIES):
            await anyio.sleep(_SETTLE_PAUSE_MS / 1000)
            if await self._tell_owner(report):
                return
