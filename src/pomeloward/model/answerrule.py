"""The HTTP response to each kind of refusal."""

import dataclasses

from pomeloward.model import errorkind
from pomeloward.model import runstate

_KIND = errorkind.ErrorKind
_NOT_RUN = runstate.RunState.NOT_RUN
_UNKNOWN = runstate.RunState.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRule:
    """The HTTP response to refusals of one kind.

    ``status`` is the HTTP status, ``run_state`` tells the caller whether the
    request may have run on a target, and ``is_retryable`` whether the
    response may carry ``Retry-After``.
    """

    status: int
    run_state: runstate.RunState
    is_retryable: bool


ANSWER_RULES: dict[errorkind.ErrorKind, AnswerRule] = {
    _KIND.BAD_REQUEST: AnswerRule(400, _NOT_RUN, False),
    _KIND.HEAD_TIMEOUT: AnswerRule(408, _NOT_RUN, False),
    _KIND.HEADERS_TOO_LARGE: AnswerRule(431, _NOT_RUN, False),
    _KIND.BODY_TOO_LARGE: AnswerRule(413, _NOT_RUN, False),
    _KIND.KEY_MISSING: AnswerRule(401, _NOT_RUN, False),
    _KIND.KEY_UNKNOWN: AnswerRule(401, _NOT_RUN, False),
    _KIND.KEY_WITHDRAWN: AnswerRule(401, _UNKNOWN, False),
    _KIND.ROUTE_UNKNOWN: AnswerRule(404, _NOT_RUN, False),
    _KIND.ROUTE_FORBIDDEN: AnswerRule(403, _NOT_RUN, False),
    _KIND.ORDER_KEY_MISSING: AnswerRule(400, _NOT_RUN, False),
    _KIND.ORDER_KEY_INVALID: AnswerRule(400, _NOT_RUN, False),
    _KIND.ORDER_CONFLICT: AnswerRule(409, _NOT_RUN, False),
    _KIND.ORDER_UNKNOWN: AnswerRule(409, _UNKNOWN, False),
    _KIND.ORDER_OWNER_UNAVAILABLE: AnswerRule(503, _UNKNOWN, True),
    _KIND.RATE_EXCEEDED: AnswerRule(429, _NOT_RUN, True),
    _KIND.BUDGET_UNAVAILABLE: AnswerRule(503, _NOT_RUN, True),
    _KIND.QUEUE_FULL: AnswerRule(503, _NOT_RUN, True),
    _KIND.QUEUE_TIMEOUT: AnswerRule(503, _NOT_RUN, True),
    _KIND.CONNECTION_LIMIT: AnswerRule(503, _NOT_RUN, True),
    _KIND.NO_CAPACITY: AnswerRule(503, _NOT_RUN, True),
    _KIND.NO_TARGET_PATH: AnswerRule(503, _NOT_RUN, True),
    _KIND.REQUEST_QUARANTINED: AnswerRule(503, _NOT_RUN, True),
    _KIND.HOST_STARTING: AnswerRule(503, _NOT_RUN, True),
    _KIND.HOST_DRAINING: AnswerRule(503, _NOT_RUN, True),
    _KIND.HOST_ISOLATED: AnswerRule(503, _NOT_RUN, True),
    _KIND.TARGET_UNREACHABLE: AnswerRule(502, _NOT_RUN, True),
    _KIND.TARGET_REFUSED: AnswerRule(503, _NOT_RUN, True),
    _KIND.TARGET_FAILED: AnswerRule(502, _UNKNOWN, False),
    _KIND.TARGET_TIMEOUT: AnswerRule(504, _UNKNOWN, False),
    _KIND.CALLER_GONE: AnswerRule(499, _UNKNOWN, False),
    _KIND.INTERNAL: AnswerRule(500, _UNKNOWN, False),
}
