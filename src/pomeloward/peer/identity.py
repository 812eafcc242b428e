"""Identity of a host in the handshake with its peers."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """A host id and its incarnation, which grows with each process start."""

    host: model.HostId
    incarnation: model.Incarnation
