"""A member's state as one host reports it to another."""

import msgspec

from pomeloward.fleet import member


class MemberReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member and the time since it sent this state itself."""

    member: member.Member
    age_ms: int
