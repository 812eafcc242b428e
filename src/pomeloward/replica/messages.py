"""Messages by which hosts keep each other's replica current."""

from pomeloward import peer
from pomeloward.replica import change


class ChangeNotice(peer.Message, frozen=True, tag="replica_news"):
    """Changes that were new to the sender when it merged them."""

    changes: tuple[change.Change, ...]


class SnapshotRequest(peer.Message, frozen=True, tag="replica_ask"):
    """Asks for the receiver's newest change of each key."""


class SnapshotResponse(peer.Message, frozen=True, tag="replica_all"):
    """The sender's newest changes, as many as fit in a message.

    The others follow in change notices and a policy offer.
    """

    changes: tuple[change.Change, ...]


class PolicyOffer(peer.Message, frozen=True, tag="replica_policy_offer"):
    """A version of the policy that the sender holds and can send in parts.

    ``version`` has decimal digits, as many as it needs. ``revision`` is that
    of the change, and ``size_bytes`` the size of all parts.
    """

    revision: int
    version: str
    size_bytes: int


class PolicyPartRequest(peer.Message, frozen=True, tag="replica_policy_ask"):
    """Asks for the part of an offered policy that begins at an offset."""

    version: str
    offset_bytes: int


class PolicyPart(peer.Message, frozen=True, tag="replica_policy_part"):
    """A part of an offered policy."""

    version: str
    offset_bytes: int
    content: bytes
