"""Life cycle states of a proxy host."""

import enum


class HostState(enum.Enum):
    """Life cycle state of a proxy host, as seen by peers and callers."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
