"""A record of one decision about a request, target or team."""

import msgspec

from pomeloward import model


class Decision(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What was decided, when and why.

    ``kind`` is a short name such as ``retry`` or ``refused``. ``reason`` is
    a text for operators. Neither ever contains the API key of a caller.
    """

    at_ms: float
    kind: str
    reason: str = ""
    request: model.RequestId | None = None
    team: model.TeamId | None = None
    target: model.TargetId | None = None
