"""A refusal of a caller's request."""

import dataclasses

from pomeloward.model import answerrule
from pomeloward.model import errorkind
from pomeloward.model import runstate


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The error side of a ``Result`` for a caller's request.

    ``detail`` is one sentence for a person and never contains a key.
    ``retry_after_ms`` is 0 where waiting does not help.
    """

    kind: errorkind.ErrorKind
    detail: str = ""
    retry_after_ms: float = 0.0

    @property
    def rule(self) -> answerrule.AnswerRule:
        """The row of the answer table for this kind."""
        return answerrule.ANSWER_RULES[self.kind]

    @property
    def run_state(self) -> runstate.RunState:
        """Whether the request may have run."""
        return self.rule.run_state
