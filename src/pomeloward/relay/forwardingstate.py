"""The attempts of one call so far."""

from pomeloward import dispatch
from pomeloward import model
from pomeloward.relay import admittedrequest
from pomeloward.relay import attemptresult


class ForwardingState:
    """What a call has come to.

    ``open`` attempts are under way, ``sent`` may have reached a target, and
    ``unsent`` certainly have not.
    """

    def __init__(self, call: admittedrequest.AdmittedRequest) -> None:
        self.request = call
        self.evidence = dispatch.RunEvidence()
        self.tried_targets: set[model.TargetId] = set()
        self.open_count = 0
        self.sent_count = 0
        self.unreachable_count = 0
        self.last_result: attemptresult.AttemptResult | None = None
