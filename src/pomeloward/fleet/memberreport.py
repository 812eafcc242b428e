"""When a host was last heard of."""

import msgspec

from pomeloward.fleet import member


class MemberReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member and the time since it said so itself."""

    member: member.Member
    age_ms: int
