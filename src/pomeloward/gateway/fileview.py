"""A fixed configuration from a file, for a host that works by itself."""

import collections
import collections.abc
import pathlib
import typing

import msgspec

from pomeloward import catalog
from pomeloward import model

_T = typing.TypeVar("_T")


def load(path: pathlib.Path) -> "FileView":
    """Read a JSON list of records; raises ``SettingsError``."""
    try:
        records = msgspec.json.decode(
            path.read_bytes(), type=list[catalog.Record]
        )
    except (OSError, msgspec.DecodeError) as error:
        raise model.SettingsError(
            f"configuration_file: found {str(path)!r}, which cannot be read "
            f"as records ({error}); allowed: a JSON list of records"
        ) from error
    return FileView(records)


class FileView:
    """The view of a list of records."""

    def __init__(
        self,
        records: collections.abc.Iterable[catalog.Record],
        version: int = 1,
    ) -> None:
        self.version = model.Version(version)
        self._by_type: dict[type, list[catalog.Record]] = (
            collections.defaultdict(list)
        )
        for record in records:
            self._by_type[type(record)].append(record)
        self._teams = {t.id: t for t in self._all(catalog.Team)}
        self._keys = {k.digest: k.team for k in self._all(catalog.Key)}
        self._services = {s.id: s for s in self._all(catalog.Service)}
        self._hosts = {h.id: h for h in self._all(catalog.Host)}
        self._zones = {z.id: z for z in self._all(catalog.Zone)}
        self._regions = {r.id: r for r in self._all(catalog.Region)}
        self._routes = sorted(
            self._all(catalog.Route), key=lambda r: -len(r.path_prefix)
        )
        self._targets: dict[model.ServiceId, list[catalog.Target]] = (
            collections.defaultdict(list)
        )
        for target in self._all(catalog.Target):
            self._targets[target.service].append(target)

    def _all(self, kind: type[_T]) -> list[_T]:
        return [r for r in self._by_type[kind] if isinstance(r, kind)]

    def team(self, team: model.TeamId) -> catalog.Team | None:
        """Return a team."""
        return self._teams.get(team)

    def team_of_key(self, digest: bytes) -> model.TeamId | None:
        """Return the team of a granted key."""
        return self._keys.get(digest)

    def route_for(self, method: str, path: str) -> catalog.Route | None:
        """Return the route with the longest matching prefix."""
        for route in self._routes:
            if method in route.methods and path.startswith(route.path_prefix):
                return route
        return None

    def service(self, service: model.ServiceId) -> catalog.Service | None:
        """Return a service."""
        return self._services.get(service)

    def services(self) -> collections.abc.Iterable[catalog.Service]:
        """Iterate over all services."""
        return self._services.values()

    def targets(
        self, service: model.ServiceId
    ) -> collections.abc.Sequence[catalog.Target]:
        """Return all targets of a service."""
        return self._targets.get(service, [])

    def shares(
        self, service: model.ServiceId
    ) -> collections.abc.Mapping[model.SiteId, float]:
        """Return the share of traffic of each site."""
        return {
            share.site: share.share_ratio
            for share in self._all(catalog.SiteShare)
            if share.service == service
        }

    def host(self, host: model.HostId) -> catalog.Host | None:
        """Return an entry host."""
        return self._hosts.get(host)

    def hosts(self) -> collections.abc.Iterable[catalog.Host]:
        """Iterate over all entry hosts."""
        return self._hosts.values()

    def zone(self, zone: model.ZoneId) -> catalog.Zone | None:
        """Return an availability zone."""
        return self._zones.get(zone)

    def region(self, region: model.RegionId) -> catalog.Region | None:
        """Return a region."""
        return self._regions.get(region)

    def regions(self) -> collections.abc.Iterable[catalog.Region]:
        """Iterate over all regions."""
        return self._regions.values()

    def rosters(
        self, region: model.RegionId
    ) -> collections.abc.Sequence[catalog.Roster]:
        """Return the rosters in circulation."""
        return [r for r in self._all(catalog.Roster) if r.region == region]
