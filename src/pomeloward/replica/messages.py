"""Messages by which hosts keep each other's replica current."""

from pomeloward import peer
from pomeloward.replica import change


class ChangeNotice(peer.Message, frozen=True, tag="replica_news"):
    """Changes that the sender has just taken."""

    changes: tuple[change.Change, ...]


class SnapshotRequest(peer.Message, frozen=True, tag="replica_ask"):
    """Asks for everything that the receiver knows."""


class SnapshotResponse(peer.Message, frozen=True, tag="replica_all"):
    """Everything that the sender knows."""

    changes: tuple[change.Change, ...]
