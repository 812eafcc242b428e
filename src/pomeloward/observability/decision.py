"""One decision about a request, target or team."""

import msgspec

from pomeloward import model


class Decision(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What was decided, when and why.

    ``kind`` is a short name such as ``retry`` or ``refused``. ``reason`` is
    a sentence for a person. Neither ever contains a caller's key.
    """

    at_ms: float
    kind: str
    reason: str = ""
    request: model.RequestId | None = None
    team: model.TeamId | None = None
    target: model.TargetId | None = None
