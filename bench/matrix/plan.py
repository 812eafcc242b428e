"""The configuration of the small fleet that each cell runs."""

import hashlib

from pomeloward import catalog
from pomeloward import model
from pomeloward import settings

REGION = model.RegionId("south")
SERVICE = model.ServiceId("orders")
ZONES = tuple(model.ZoneId(f"z{number}") for number in range(3))
HOSTS = tuple(model.HostId(f"h{number}") for number in range(6))
TARGETS = tuple(model.TargetId(f"t{number}") for number in range(8))
ADDED = model.TargetId("t8")
LEAVING = model.TargetId("t3")
ZONE_OUT = ZONES[2]
SLOTS = 3
FLOOR_RATIO = 0.75
DEADLINE_MS = 5_000.0
PARTITIONS = 6
# Rate per second and burst of each team.
RATES = {
    "big": (40.0, 200.0),
    "flood": (5.0, 5.0),
    "leaver": (20.0, 20.0),
    "marker": (20.0, 20.0),
}
KEYS = {
    "big": "secret-of-team-big",
    "flood": "secret-of-team-flood",
    "leaver": "secret-of-team-leaver",
}


def zone_of(number: int) -> model.ZoneId:
    """Return the zone of the host or target with a number."""
    return ZONES[number % len(ZONES)]


def address_of(host: model.HostId) -> str:
    """Return the address that callers know a host by."""
    return f"127.0.9.{HOSTS.index(host) + 1}"


def digest_of(key: str) -> bytes:
    """Return what the configuration holds of a key."""
    return hashlib.sha256(key.encode()).digest()


def key_record(key: str, team: str) -> catalog.Key:
    """Return the record of a team's key."""
    return catalog.Key(digest_of(key), model.TeamId(team))


def roster(number: int, hosts: tuple[model.HostId, ...]) -> catalog.Roster:
    """Return a roster of some hosts."""
    zones = tuple(zone_of(HOSTS.index(host)) for host in hosts)
    return catalog.Roster(REGION, number, hosts, zones)


def target(name: model.TargetId, is_leaving: bool = False) -> catalog.Target:
    """Return the record of a target."""
    number = int(name[1:])
    return catalog.Target(
        name,
        SERVICE,
        zone_of(number),
        model.SiteId("old"),
        f"http://127.0.8.{number + 1}:80",
        is_leaving=is_leaving,
    )


def records() -> list[catalog.Record]:
    """Return the first version of the configuration."""
    return [
        catalog.Region(REGION, PARTITIONS),
        *(catalog.Zone(zone, REGION) for zone in ZONES),
        *(
            catalog.Host(
                host, zone_of(number), REGION, address_of(host), 80, 81
            )
            for number, host in enumerate(HOSTS)
        ),
        roster(1, HOSTS),
        catalog.Service(SERVICE, FLOOR_RATIO, SLOTS),
        *(target(name) for name in TARGETS),
        *(
            catalog.Team(model.TeamId(team), rate, burst)
            for team, (rate, burst) in RATES.items()
        ),
        *(key_record(key, team) for team, key in KEYS.items()),
        *_routes(),
    ]


def _routes() -> list[catalog.Record]:
    def route(name: str, **more: object) -> catalog.Route:
        return catalog.Route(
            model.RouteId(name),
            SERVICE,
            f"/{name}",
            deadline_ms=DEADLINE_MS,
            **more,  # type: ignore[arg-type]
        )

    return [
        route("items"),
        route("orders", methods=("POST",), is_idempotent=False),
        route("open", access=catalog.RouteAccess.OPEN),
        route("private", teams=(model.TeamId("big"),)),
    ]


def host_settings(host: model.HostId) -> settings.Settings:
    """Return the settings of a host; the URL makes it one of a fleet."""
    number = HOSTS.index(host)
    return settings.Settings(
        host_id=host,
        zone=zone_of(number),
        region=REGION,
        address=address_of(host),
        caller_port=80,
        peer_port=81,
        platform_url="http://platform",
        fleet_secret="a secret of the matrix",  # noqa: S106
        drain=settings.DrainSettings(accept_ms=1_500.0),
        logs=settings.LogSettings(
            file="", request_ratio=1.0, refusals_per_s=1e6
        ),
        seeds=tuple(
            settings.SeedHost(
                id=other, address=address_of(other), peer_port=81
            )
            for other in HOSTS
            if other != host
        ),
    )
