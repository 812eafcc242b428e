"""Messages between hosts about the health of targets."""

from pomeloward import model
from pomeloward import peer


class UnhealthyTargets(peer.Message, frozen=True, tag="balance_doubtful"):
    """The targets in the sender's zone that should get trial requests only."""

    targets: tuple[model.TargetId, ...]
