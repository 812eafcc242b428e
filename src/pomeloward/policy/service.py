"""Services, with limits on the load of their targets."""

import msgspec

from pomeloward import model


class Service(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A service, with the limits that hold for each of its targets.

    The hosts of the fleet divide each limit among them.
    """

    id: model.ServiceId
    connections_per_target: int = 100
    # The request rate of a target that has not warmed up yet; 0 is no limit.
    cold_per_s: float = 0.0
