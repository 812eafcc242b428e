"""Settings of one entry host."""

import typing

import msgspec

from pomeloward import model
from pomeloward.settings import drain as drain_settings
from pomeloward.settings import limits as limits_settings
from pomeloward.settings import logs as logs_settings

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class Seed(msgspec.Struct, frozen=True, kw_only=True):
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
    seeds: tuple[Seed, ...] = ()
    limits: limits_settings.Limits = limits_settings.Limits()
    drain: drain_settings.Drain = drain_settings.Drain()
    logs: logs_settings.Logs = logs_settings.Logs()

    @property
    def host(self) -> model.HostId:
        """The id of this host."""
        return model.HostId(self.host_id)
