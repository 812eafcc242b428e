"""States of an entry host."""

import enum


class HostState(enum.Enum):
    """Life cycle of an entry host as its peers and callers see it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
