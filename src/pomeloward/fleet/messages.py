"""Messages of membership."""

from pomeloward import peer
from pomeloward.fleet import member
from pomeloward.fleet import memberreport


class Heartbeat(peer.Message, frozen=True, tag="fleet_beat"):
    """A host's own state and what it knows of others.

    ``digest`` is that of its replica, ``fresh_age_ms`` the age of the
    replica's state, -1 while there is none. With ``is_asking`` the sender
    wants a beat back that names the first hosts of all zones.
    """

    own: member.Member
    others: tuple[memberreport.MemberReport, ...] = ()
    digest: int = 0
    fresh_age_ms: int = -1
    is_asking: bool = False
