"""Settings of one entry host."""

import typing

import msgspec

from pomeloward import model
from pomeloward.settings import drainsettings
from pomeloward.settings import limits as host_limits
from pomeloward.settings import logsettings

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class SeedHost(msgspec.Struct, frozen=True, kw_only=True):
    """A host that a starting host may ask for the configuration."""

    id: _Name
    address: _Name
    peer_port: _Port


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything a host process is told at its start.

    ``configuration_file`` gives a fixed configuration without a platform,
    for a host that works by itself. With ``platform_url`` the host belongs
    to a fleet, and ``fleet_secret`` authenticates its peers.
    """

    host_id: _Name
    zone: _Name
    region: _Name
    address: _Name
    caller_port: _Port
    peer_port: _Port = 8_200
    platform_url: str = ""
    fleet_secret: str = ""
    configuration_file: str = ""
    seeds: tuple[SeedHost, ...] = ()
    limits: host_limits.Limits = host_limits.Limits()
    drain: drainsettings.DrainSettings = drainsettings.DrainSettings()
    logs: logsettings.LogSettings = logsettings.LogSettings()

    @property
    def host(self) -> model.HostId:
        """The id of this host."""
        return model.HostId(self.host_id)
