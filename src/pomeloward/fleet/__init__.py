"""Membership of the fleet, its leaders and the hosts that get callers."""

from pomeloward.fleet.heartbeatexchange import (
    HeartbeatExchange as HeartbeatExchange,
)
from pomeloward.fleet.member import Member as Member
from pomeloward.fleet.member import MemberState as MemberState
from pomeloward.fleet.memberreport import MemberReport as MemberReport
from pomeloward.fleet.membership import Membership as Membership
from pomeloward.fleet.messages import Heartbeat as Heartbeat
