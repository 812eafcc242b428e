"""A generated configuration of the planned size."""

import collections.abc
import hashlib
import typing

from pomeloward import catalog
from pomeloward import model


class Size(typing.NamedTuple):
    """Numbers of records."""

    teams: int = 64_000
    keys: int = 128_000
    routes: int = 12_000
    services: int = 240
    targets: int = 9_800
    hosts: int = 640
    regions: int = 3
    zones: int = 10


SIZE = Size()


def digest(number: int) -> bytes:
    """Return the digest of a key."""
    return hashlib.sha256(str(number).encode()).digest()


def prefix(number: int) -> str:
    """Return the path prefix of a route."""
    return f"/service-{number % SIZE.services}/v1/{number}"


def fleet() -> list[catalog.Record]:
    """Return the regions, zones and entry hosts."""
    found: list[catalog.Record] = []
    for region in range(SIZE.regions):
        name = model.RegionId(f"region-{region}")
        found.append(catalog.Region(name, 640, 1 / SIZE.regions))
    for zone in range(SIZE.zones):
        found.append(catalog.Zone(_zone(zone), _region(zone)))
    for host in range(SIZE.hosts):
        found.append(
            catalog.Host(
                model.HostId(f"host-{host}"),
                _zone(host),
                _region(host % SIZE.zones),
                f"10.0.{host // 250}.{host % 250 + 1}",
                8443,
                8200,
            )
        )
    return found


def records() -> collections.abc.Iterator[catalog.Record]:
    """Iterate over a whole configuration."""
    hosts = fleet()
    yield from hosts
    for region in range(SIZE.regions):
        members = tuple(
            each.id
            for each in hosts
            if isinstance(each, catalog.Host)
            and each.region == _region(region)
        )
        yield catalog.Roster(_region(region), 1, members)
    for team in range(SIZE.teams):
        yield catalog.Team(_team(team), 10.0 + team % 7, 50.0)
    for key in range(SIZE.keys):
        yield catalog.Key(digest(key), _team(key % SIZE.teams))
    yield from _services()


def _services() -> collections.abc.Iterator[catalog.Record]:
    for service in range(SIZE.services):
        yield catalog.Service(_service(service))
        for site in range(2):
            name = model.SiteId(f"site-{site}")
            yield catalog.SiteShare(_service(service), name, 0.5)
    for route in range(SIZE.routes):
        yield catalog.Route(
            model.RouteId(f"route-{route}"),
            _service(route),
            prefix(route),
            ("GET", "HEAD"),
        )
    for target in range(SIZE.targets):
        yield catalog.Target(
            model.TargetId(f"target-{target}"),
            _service(target),
            _zone(target),
            model.SiteId(f"site-{target // SIZE.services % 2}"),
            f"http://10.1.{target // 250}.{target % 250 + 1}:8080",
            4,
        )


def _region(number: int) -> model.RegionId:
    return model.RegionId(f"region-{number % SIZE.regions}")


def _zone(number: int) -> model.ZoneId:
    return model.ZoneId(f"zone-{number % SIZE.zones}")


def _team(number: int) -> model.TeamId:
    return model.TeamId(f"team-{number}")


def _service(number: int) -> model.ServiceId:
    return model.ServiceId(f"service-{number % SIZE.services}")
