"""An entry of the platform's host list."""

import enum

import msgspec

from pomeloward import model


class ListedState(enum.Enum):
    """What the platform says about a host; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's list."""

    host: model.HostId
    state: ListedState
