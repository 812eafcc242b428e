"""What the decisions of a holder tell its shell."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """A partition is owned from now on.

    ``previous`` is the epoch of the owner directly before, or 0 where that
    is not proven.
    """

    number: int
    epoch: int
    previous: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probed:
    """A majority would vote for this host; the bids are to be sent."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """A partition is not owned any more; its votes lapsed."""

    number: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A candidacy did not find a majority and was given up.

    The votes of ``voters`` are to be released as unused. Nobody can win
    before ``wait_ms`` have passed.
    """

    number: int
    epoch: int
    voters: frozenset[model.HostId]
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """A voter refused because it has a newer configuration."""

    voter: model.HostId
    version: model.Version


Event = Acquired | Probed | Lost | Failed | Outdated
