"""Settings of a host that the ``pomeloward-host`` command runs."""

import typing

import msgspec

from pomeloward import model
from pomeloward.settings import drainsettings
from pomeloward.settings import limits as host_limits
from pomeloward.settings import logsettings

_NonEmptyStr = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=200)
]
_PortNumber = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class SeedHost(msgspec.Struct, frozen=True, kw_only=True):
    """A host from which a starting host may fetch the configuration."""

    id: _NonEmptyStr
    address: _NonEmptyStr
    peer_port: _PortNumber


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that a host process reads at its start.

    With ``configuration_file``, the host works without a platform or peers
    and reads a fixed configuration from this file. With ``platform_url``,
    the host belongs to a fleet, and ``fleet_secret`` authenticates its
    peers. Exactly one of the two is set.
    """

    host_id: _NonEmptyStr
    zone: _NonEmptyStr
    region: _NonEmptyStr
    address: _NonEmptyStr
    caller_port: _PortNumber
    peer_port: _PortNumber = 8_200
    platform_url: str = ""
    fleet_secret: str = ""
    configuration_file: str = ""
    seeds: tuple[SeedHost, ...] = ()
    limits: host_limits.Limits = host_limits.Limits()
    drain: drainsettings.DrainSettings = drainsettings.DrainSettings()
    logs: logsettings.LogSettings = logsettings.LogSettings()

    @property
    def host(self) -> model.HostId:
        """The ID of this host."""
        return model.HostId(self.host_id)
