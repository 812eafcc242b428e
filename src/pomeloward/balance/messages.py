"""Messages between hosts about the health of targets."""

from pomeloward import model
from pomeloward import peer


class UnhealthyTargets(peer.Message, frozen=True, tag="balance_doubtful"):
    """Targets in the sender's zone that should get trial requests only.

    The message's tag calls unhealthy targets doubtful.
    """

    targets: tuple[model.TargetId, ...]
