"""Messages between holders, voters and successors.

Partitions travel as their numbers; all messages stay within a region.
"""

import enum

import msgspec

from pomeloward import model
from pomeloward import peer

# The epoch of a bid that only asks whether a vote would be granted.
PROBE_EPOCH = 0


class Bid(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The wish to hold a partition under an epoch.

    A bid with ``PROBE_EPOCH`` changes nothing at the voter. A candidate
    probes first, so that one which is merely cut off from a living owner
    takes no votes from it (the pre-vote of D. Ongaro, "Consensus: bridging
    theory and practice", 2014, section 9.6).
    """

    number: int
    epoch: int


class VoteAsk(peer.Message, frozen=True, tag="v"):
    """Asks a voter for votes, new ones and renewals in one message."""

    region: model.RegionId
    version: model.Version
    incarnation: model.Incarnation
    bids: tuple[Bid, ...]


class Verdict(enum.IntEnum):
    """What a voter says to one bid."""

    GRANTED = 0
    SILENT = 1
    NO_STANDING = 2
    STALE_VERSION = 3
    HELD = 4
    LOW_EPOCH = 5


class Vote(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The answer to one bid.

    ``value`` is the highest epoch granted before for ``GRANTED`` (0 if the
    voter remembers none) and for ``LOW_EPOCH``, and the time in
    milliseconds after which to ask again for ``SILENT`` and ``HELD``.
    """

    verdict: Verdict
    value: int = 0


class VoteAnswer(peer.Message, frozen=True, tag="w"):
    """The votes, in the order of the bids, and the voter's version."""

    version: model.Version
    votes: tuple[Vote, ...]


class Release(peer.Message, frozen=True, tag="own-release"):
    """Gives votes back before they lapse.

    For a short time the voter keeps the partitions for ``successor``; an
    empty one keeps them for nobody. ``is_unused`` tells that the holder
    never owned the partitions under these epochs.
    """

    region: model.RegionId
    incarnation: model.Incarnation
    bids: tuple[Bid, ...]
    successor: model.HostId = model.HostId("")
    is_unused: bool = False


class Released(peer.Message, frozen=True, tag="own-released"):
    """Confirms a ``Release``."""


class HandOver(peer.Message, frozen=True, tag="own-handover"):
    """One part of the state of a partition for its successor.

    ``part`` counts from 0 to ``parts`` - 1; the parts joined are the CBOR of
    a map from the names of partition users to their exported states.
    """

    region: model.RegionId
    number: int
    epoch: int
    part: int
    parts: int
    state: bytes


class HandOverAnswer(peer.Message, frozen=True, tag="own-handover-ok"):
    """Whether the successor takes the partition."""

    is_accepted: bool


class Tenancy(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Who owned a partition under an epoch."""

    number: int
    epoch: int
    host: model.HostId


class Announce(peer.Message, frozen=True, tag="own-announce"):
    """News about the owners of partitions."""

    region: model.RegionId
    tenancies: tuple[Tenancy, ...]


class OwnersAsk(peer.Message, frozen=True, tag="own-ask"):
    """Asks for the table of owners if it differs from this checksum."""

    region: model.RegionId
    checksum: int


class OwnersAnswer(peer.Message, frozen=True, tag="own-table"):
    """The table of owners, empty where the checksum was the same."""

    tenancies: tuple[Tenancy, ...] = ()
