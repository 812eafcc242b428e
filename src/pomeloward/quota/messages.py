"""Messages in which hosts report the requests that they admitted."""

import msgspec

from pomeloward import model
from pomeloward import peer


class TeamUsage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Number of a team's requests that a host admitted in a report interval.

    Requests that were admitted but didn't run are subtracted. The number is
    negative if more of these were subtracted than requests were admitted
    since the previous report.
    """

    team: model.TeamId
    requests: int


class UsageReport(peer.Message, frozen=True, tag="quota_spending"):
    """Requests that the sender admitted since its previous report, by team."""

    teams: tuple[TeamUsage, ...]
