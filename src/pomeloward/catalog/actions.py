"""What the spreader asks its shell to do."""

import dataclasses

from pomeloward import model
from pomeloward import peer
from pomeloward.catalog import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Send a notice that may be lost."""

    host: model.HostId
    notice: peer.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Send a question; its answer or failure comes back as an event."""

    host: model.HostId
    question: peer.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Build:
    """Build a configuration from the pages of a snapshot.

    It takes seconds at the planned size, so it runs beside the loop. The
    list is emptied while it is read.
    """

    version: model.Version
    pages: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A configuration has come into force."""

    configuration: configuration.Configuration


Action = Tell | Ask | Build | InForce
