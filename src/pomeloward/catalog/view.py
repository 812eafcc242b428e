"""What other modules read of the configuration in force."""

import collections.abc
import typing

from pomeloward import model
from pomeloward.catalog import records


class View(typing.Protocol):
    """The accepted configuration of one version.

    Look-ups cost no more than a dictionary or binary search, so that the
    request path may use them directly.
    """

    @property
    def version(self) -> model.Version:
        """The version of this configuration."""

    def team(self, team: model.TeamId) -> records.Team | None:
        """Return a team."""

    def team_of_key(self, digest: bytes) -> model.TeamId | None:
        """Return the team of a granted key by its SHA-256 digest."""

    def route_for(self, method: str, path: str) -> records.Route | None:
        """Return the route with the longest matching path prefix."""

    def service(self, service: model.ServiceId) -> records.Service | None:
        """Return a service."""

    def services(self) -> collections.abc.Iterable[records.Service]:
        """Iterate over all services."""

    def targets(
        self, service: model.ServiceId
    ) -> collections.abc.Sequence[records.Target]:
        """Return all targets of a service, leaving ones included."""

    def shares(
        self, service: model.ServiceId
    ) -> collections.abc.Mapping[model.SiteId, float]:
        """Return the share of traffic of each site; empty means equal."""

    def host(self, host: model.HostId) -> records.Host | None:
        """Return an entry host."""

    def hosts(self) -> collections.abc.Iterable[records.Host]:
        """Iterate over all entry hosts."""

    def zone(self, zone: model.ZoneId) -> records.Zone | None:
        """Return an availability zone."""

    def region(self, region: model.RegionId) -> records.Region | None:
        """Return a region."""

    def regions(self) -> collections.abc.Iterable[records.Region]:
        """Iterate over all regions."""

    def rosters(
        self, region: model.RegionId
    ) -> collections.abc.Sequence[records.Roster]:
        """Return the rosters in circulation, oldest first, at most 3."""
