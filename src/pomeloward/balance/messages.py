"""Messages about the health of targets."""

from pomeloward import model
from pomeloward import peer


class DoubtfulTargets(peer.Message, frozen=True, tag="balance_doubtful"):
    """Targets of the sender's zone that get trials only."""

    targets: tuple[model.TargetId, ...]
