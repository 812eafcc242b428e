"""Messages between hosts about the health of targets."""

import msgspec

from pomeloward import model
from pomeloward import peer


class UnhealthyTargets(peer.Message, frozen=True, tag="balance_doubtful"):
    """Targets in the sender's zone that should get trial requests only.

    The message's tag calls unhealthy targets doubtful.
    """

    targets: tuple[model.TargetId, ...]


class TargetLimit(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The requests per second that a target takes from all hosts together."""

    target: model.TargetId
    limit_per_s: float


class TargetLimitReport(peer.Message, frozen=True, tag="balance_limits"):
    """Rate limits of targets that the sender knows.

    In its own zone these are all limits, in other zones those that targets of
    its zone have named in answers to it. They are valid until a few reports
    of the sender are missing.
    """

    limits: tuple[TargetLimit, ...]
