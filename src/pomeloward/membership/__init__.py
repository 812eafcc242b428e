"""Heartbeats, standing and the states of hosts."""

from pomeloward.membership.protocol import Membership as Membership
