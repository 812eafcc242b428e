"""Messages about spent tokens."""

import msgspec

from pomeloward import model
from pomeloward import peer


class TeamSpending(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How many requests of a team a host has admitted.

    Below 0 where more were given back than admitted since the last report.
    """

    team: model.TeamId
    requests: int


class Spending(peer.Message, frozen=True, tag="quota_spending"):
    """What the sender admitted since its last message."""

    teams: tuple[TeamSpending, ...]
