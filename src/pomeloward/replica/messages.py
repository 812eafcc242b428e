"""Messages by which hosts keep each other's replica current."""

from pomeloward import peer
from pomeloward.replica import change


class ChangeNotice(peer.Message, frozen=True, tag="replica_news"):
    """Changes that were new to the sender when it merged them."""

    changes: tuple[change.Change, ...]


class SnapshotRequest(peer.Message, frozen=True, tag="replica_ask"):
    """Asks for the receiver's newest change of each key."""


class SnapshotResponse(peer.Message, frozen=True, tag="replica_all"):
    """The sender's newest change of each key."""

    changes: tuple[change.Change, ...]
