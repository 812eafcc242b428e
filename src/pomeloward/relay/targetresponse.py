"""A target's answer that is passed on."""

import collections.abc
import dataclasses

from pomeloward import dispatch


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """The head and the first part of the body, usually the whole.

    ``rest`` iterates over what comes after ``body``; None where the answer
    is complete. It raises ``dispatch.AnswerCut`` when the answer ends early.
    """

    status: int
    headers: dispatch.Headers
    body_start: bytes
    body_rest: collections.abc.AsyncIterator[bytes] | None = None
