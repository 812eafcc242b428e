"""Heartbeats, standing and the states of hosts."""

from pomeloward.membership.protocol import Membership as Membership
from pomeloward.membership.roll import Roll as Roll
from pomeloward.membership.shell import Heartbeats as Heartbeats
