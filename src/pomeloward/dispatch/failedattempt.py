"""A failed attempt with the answer that shows it, if there is one."""

import dataclasses

from pomeloward import model
from pomeloward.dispatch import answer as answers
from pomeloward.dispatch import failure as failures


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What is known of a failed attempt at one target."""

    target: model.TargetId
    failure: failures.Failure
    answer: answers.Answer | None = None

    async def discard(self) -> None:
        """End an answer that the caller will not get."""
        if self.answer is not None:
            await self.answer.discard()
