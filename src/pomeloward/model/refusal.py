"""A refusal of a caller's request."""

import dataclasses

from pomeloward.model import answerrule
from pomeloward.model import errorkind
from pomeloward.model import runstate


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a caller's request is refused; the error of its ``Result``.

    ``detail`` explains the refusal to a person and never contains a key.
    ``retry_after_ms`` is 0 where waiting does not help.
    """

    kind: errorkind.ErrorKind
    detail: str = ""
    retry_after_ms: float = 0.0

    @property
    def rule(self) -> answerrule.AnswerRule:
        """The HTTP response to refusals of this kind."""
        return answerrule.ANSWER_RULES[self.kind]

    @property
    def run_state(self) -> runstate.RunState:
        """Whether the request may have run on a target."""
        return self.rule.run_state
