"""Identifiers and counters, each a distinct type for the type checker."""

import typing

HostId = typing.NewType("HostId", str)
ZoneId = typing.NewType("ZoneId", str)
RegionId = typing.NewType("RegionId", str)
SiteId = typing.NewType("SiteId", str)
TeamId = typing.NewType("TeamId", str)
ServiceId = typing.NewType("ServiceId", str)
TargetId = typing.NewType("TargetId", str)
RouteId = typing.NewType("RouteId", str)
RequestId = typing.NewType("RequestId", str)
# Digest in hexadecimal of what a request asks for, apart from its id.
RequestFingerprint = typing.NewType("RequestFingerprint", str)
# A partition of a region's services, orders and team budgets, which one host
# owns at a time. It is written "<region>/<number>", for example "south/17".
PartitionId = typing.NewType("PartitionId", str)
# Version of the configuration; it only increases.
Version = typing.NewType("Version", int)
# The runtime converts texts of up to 4,300 digits.
MAX_VERSION_DIGITS = 4_000
# Number of an ownership term of a partition; it only increases.
Epoch = typing.NewType("Epoch", int)
# Start time of a host's process in milliseconds since the Unix epoch; a later
# start of the same host has a larger one.
Incarnation = typing.NewType("Incarnation", int)
