"""Who a host is towards its peers."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """A host and the start of its process."""

    host: model.HostId
    incarnation: model.Incarnation
