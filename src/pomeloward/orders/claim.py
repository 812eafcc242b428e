"""What a host holds after it claimed an order."""

import collections.abc
import typing

from pomeloward import model
from pomeloward.orders import messages
from pomeloward.orders import recordedanswer


class Answer(typing.Protocol):
    """An answer of a target, in any form that has these parts."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Names and values."""

    @property
    def body(self) -> bytes:
        """The whole body."""


Settle = collections.abc.Callable[
    [messages.Outcome, recordedanswer.RecordedAnswer | None],
    collections.abc.Awaitable[None],
]


class Claim:
    """A recorded answer, or the permit to run an order once.

    The permit is checked right before the dispatch, after every wait. A run
    ends by exactly one of ``finish``, ``clear`` and ``abandon``.
    """

    def __init__(
        self,
        answer: recordedanswer.RecordedAnswer | None,
        permit: model.Lease | None,
        settle: Settle,
    ) -> None:
        """Create a claim with either an answer or a permit."""
        self.answer = answer
        self._permit = permit
        self._settle = settle

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether the order may be dispatched now."""
        return self._permit is not None and self._permit.is_valid(now_ms)

    async def finish(self, answer: Answer) -> None:
        """Record the answer of the run for repeats."""
        self._permit = None
        recorded = recordedanswer.RecordedAnswer(
            answer.status, tuple(answer.headers), answer.body
        )
        if recorded.size_bytes > recordedanswer.MAX_ANSWER_BYTES:
            await self._settle(messages.Outcome.FINISHED, None)
        else:
            await self._settle(messages.Outcome.FINISHED, recorded)

    async def clear(self, proof: model.NotRunProof) -> None:
        """Give the order back after a run that certainly did not happen."""
        assert isinstance(proof, model.NotRunProof)
        self._permit = None
        await self._settle(messages.Outcome.CLEARED, None)

    async def abandon(self) -> None:
        """Leave the order unknown for good."""
        self._permit = None
        await self._settle(messages.Outcome.ABANDONED, None)
