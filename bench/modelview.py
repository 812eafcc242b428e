"""The configuration of one service for models and measurements."""

from pomeloward import catalog
from pomeloward import model

REGION = model.RegionId("south")
SERVICE = model.ServiceId("orders")
_ZONES = 4


class ModelView:
    """One service in one region, spread over four zones."""

    def __init__(self, targets: int, slots: int, hosts: int) -> None:
        self.servers = [
            catalog.Target(
                model.TargetId(f"t{n:02}"),
                SERVICE,
                model.ZoneId(f"z{n % _ZONES}"),
                model.SiteId("old"),
                "http://127.0.0.1",
            )
            for n in range(targets)
        ]
        self._entry = catalog.Service(SERVICE, slots_per_target=slots)
        self._hosts = [
            catalog.Host(
                model.HostId(f"h{n:02}"),
                model.ZoneId(f"z{n % _ZONES}"),
                REGION,
                "127.0.0.1",
                1,
                2,
            )
            for n in range(hosts)
        ]

    @property
    def version(self) -> model.Version:
        """The only version."""
        return model.Version(1)

    def service(self, service: model.ServiceId) -> catalog.Service | None:
        """Return the only service."""
        return self._entry

    def services(self) -> list[catalog.Service]:
        """Return the only service."""
        return [self._entry]

    def targets(self, service: model.ServiceId) -> list[catalog.Target]:
        """Return all targets."""
        return self.servers

    def shares(self, service: model.ServiceId) -> dict[model.SiteId, float]:
        """Return no shares."""
        return {}

    def hosts(self) -> list[catalog.Host]:
        """Return all hosts."""
        return self._hosts

    def zone(self, zone: model.ZoneId) -> catalog.Zone | None:
        """Return a zone in service."""
        return catalog.Zone(zone, REGION)

    def team(self, team: model.TeamId) -> catalog.Team | None:
        """Return None: all teams have the same weight."""
        return None

    def route_for(self, method: str, path: str) -> catalog.Route | None:
        """Return None: the model has no paths."""
        return None

    def team_of_key(self, digest: bytes) -> model.TeamId | None:
        """Return None: the model has no keys."""
        return None

    def host(self, host: model.HostId) -> catalog.Host | None:
        """Return a host."""
        return next((one for one in self._hosts if one.id == host), None)

    def regions(self) -> list[catalog.Region]:
        """Return the only region."""
        return [catalog.Region(REGION, 64)]

    def rosters(self, region: model.RegionId) -> list[catalog.Roster]:
        """Return no rosters."""
        return []

    def region(self, region: model.RegionId) -> catalog.Region | None:
        """Return the only region."""
        return catalog.Region(REGION, 64)
