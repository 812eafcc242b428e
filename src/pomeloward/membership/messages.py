"""The heartbeat."""

from pomeloward import model
from pomeloward import peer


class Beat(peer.Message, frozen=True, tag="b"):
    """What a host says about itself, sent to its contacts.

    ``state`` is a code of ``digest``. ``load`` is the host's use of its
    limits in percent. ``is_heard`` tells the receiver that its own beats
    arrive. ``digest`` has the states of some other hosts.
    """

    incarnation: model.Incarnation
    state: int
    version: model.Version
    load: int = 0
    is_heard: bool = False
    digest: bytes = b""
