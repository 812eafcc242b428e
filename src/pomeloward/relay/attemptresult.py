"""What came of one attempt."""

import dataclasses

from pomeloward import balance
from pomeloward import model
from pomeloward.relay import targetresponse


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """An attempt's end.

    ``proof`` tells that the request has not run. ``answer`` is what the
    target said, if it may be passed on.
    """

    run: balance.Attempt
    ending: balance.Outcome
    detail: str
    proof: model.NotRunProof | None = None
    response: targetresponse.TargetResponse | None = None

    @property
    def is_success(self) -> bool:
        """Whether the answer is the one that the caller asked for."""
        return self.ending is balance.Outcome.OK
