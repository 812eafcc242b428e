"""State of forwarding one request."""

from pomeloward import model
from pomeloward.relay import admittedrequest
from pomeloward.relay import attemptresult


class ForwardingState:
    """The attempts of one request so far.

    ``open_count`` attempts have no result yet. ``sent_count`` attempts may
    have reached a target; ``unreachable_count`` attempts certainly did not.
    """

    def __init__(self, request: admittedrequest.AdmittedRequest) -> None:
        self.request = request
        self.tried_target_ids: set[model.TargetId] = set()
        self.open_count = 0
        self.sent_count = 0
        self.unreachable_count = 0
        self.last_result: attemptresult.AttemptResult | None = None
