"""The message by which hosts exchange membership."""

from pomeloward import peer
from pomeloward.fleet import member
from pomeloward.fleet import memberreport


class Heartbeat(peer.Message, frozen=True, tag="fleet_beat"):
    """The sender's own state and its reports of other hosts.

    ``own`` is the sender, ``others`` the reports. ``digest`` is that of the
    sender's replica of the platform's state, and ``fresh_age_ms`` the age of
    that state, -1 while there is none. With ``is_asking`` the sender requests
    a heartbeat in return that reports the first hosts of all zones.
    """

    own: member.Member
    others: tuple[memberreport.MemberReport, ...] = ()
    digest: int = 0
    fresh_age_ms: int = -1
    is_asking: bool = False
