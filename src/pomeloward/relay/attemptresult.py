"""Result of one attempt at a target."""

import dataclasses

from pomeloward import balance
from pomeloward import model
from pomeloward import wire
from pomeloward.relay import targetresponse


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """How an attempt ended.

    ``detail`` explains ``outcome``, also to a caller that gets a refusal.
    ``not_run_proof`` is given if the attempt certainly did not run the
    request, and ``response`` if there is one that may be passed on.
    ``has_crashed_target`` tells that the target closed the connection instead
    of answering, and accepts no other one. ``connection_use`` is None if
    nothing was sent. ``error_text`` describes the error that ended the
    attempt, for the log alone.
    """

    attempt: balance.Attempt
    outcome: balance.Outcome
    detail: str
    not_run_proof: model.NotRunProof | None = None
    response: targetresponse.TargetResponse | None = None
    has_crashed_target: bool = False
    connection_use: wire.ConnectionUse | None = None
    error_text: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the target answered without a failure of its own."""
        return self.outcome is balance.Outcome.OK

    @property
    def log_detail(self) -> str:
        """The detail with the text of the error and the connection."""
        detail = self.error_text or self.detail
        if self.connection_use is not None:
            detail += f" ({self.connection_use})"
        return detail
