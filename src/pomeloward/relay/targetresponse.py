"""Response of a target that is passed on to the caller."""

import collections.abc
import dataclasses

from pomeloward import dispatch


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """Status, headers and body of a target's response.

    ``body_start`` is the whole body unless that is large; ``body_rest`` then
    iterates over the remaining chunks, and is None otherwise. It raises
    ``dispatch.AnswerCut`` when the target ends the response early.
    """

    status: int
    headers: dispatch.Headers
    body_start: bytes
    body_rest: collections.abc.AsyncIterator[bytes] | None = None
