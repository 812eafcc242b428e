"""The two deployments at today's size, as configuration records."""

import dataclasses
import hashlib
import os

from pomeloward import catalog
from pomeloward import model

REGION = model.RegionId("home")
CALLER_PORT = 8_100
PEER_PORT = 8_200
TARGET_PORT = 9_000
PARTITIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service: number of targets, slots of each, typical work."""

    name: str
    targets: int
    slots: int
    connections: int
    work_ms: float
    order_path: str
    read_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A user's deployment: zones, services, teams and latencies."""

    name: str
    zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    team_rates_per_s: tuple[float, ...]
    zone_latency_ms: float
    client_latency_ms: float


KUNENE = Deployment(
    "kunene",
    ("opuwo", "sesfontein", "kamanjab", "khorixas"),
    (
        ServicePlan("orders", 20, 3, 400, 40.0, "/regrind", "/status"),
        ServicePlan("logistics", 16, 3, 400, 60.0, "/dispatch", "/wear"),
    ),
    (60.0, 40.0, 30.0, 10.0, 5.0, 5.0, 3.0, 2.0),
    0.5,
    3.0,
)
BERTOLDI = Deployment(
    "bertoldi",
    ("vacaria", "caxias", "bento"),
    (
        ServicePlan("booking", 18, 2, 360, 40.0, "/book", "/press-slots"),
        ServicePlan("weighing", 12, 2, 360, 60.0, "/ticket", "/bins"),
    ),
    (50.0, 30.0, 20.0, 8.0, 5.0, 4.0, 3.0, 2.0),
    1.0,
    8.0,
)
DEPLOYMENTS = {plan.name: plan for plan in (KUNENE, BERTOLDI)}


def team_name(index: int) -> str:
    """Return the name of a team."""
    return f"team-{index}"


def team_key(index: int, number: int = 0) -> str:
    """Return a caller's key; stand-ins recognize it by its prefix."""
    return f"key-{index}-{number}-0123456789abcdef"


def host_name(index: int) -> str:
    """Return the name of an entry host."""
    return f"host-{index}"


def own_network() -> int:
    """Return the second octet of this process's loopback addresses.

    Launchers that run at the same time must not share addresses.
    """
    return 20 + os.getpid() % 200


def host_address(index: int) -> str:
    """Return the loopback address of an entry host."""
    return f"127.{own_network()}.1.{index + 1}"


def target_bind(service_index: int, index: int) -> str:
    """Return address and port of a target."""
    network = f"127.{own_network()}.{2 + service_index}"
    return f"{network}.{index + 1}:{TARGET_PORT}"


def key_record(index: int, number: int = 0) -> catalog.Key:
    """Return the record that grants a key."""
    digest = hashlib.sha256(team_key(index, number).encode()).digest()
    return catalog.Key(digest, model.TeamId(team_name(index)))


def target_name(service: str, index: int) -> str:
    """Return the name of a target."""
    return f"{service}-{index}"


def records(plan: Deployment, host_count: int) -> list[catalog.Record]:
    """Return the whole configuration of a deployment."""
    made: list[catalog.Record] = [catalog.Region(REGION, PARTITIONS)]
    for zone in plan.zones:
        made.append(catalog.Zone(model.ZoneId(zone), REGION))
    made += _host_records(plan, host_count)
    for index, rate_per_s in enumerate(plan.team_rates_per_s):
        team = model.TeamId(team_name(index))
        burst = max(3.0, rate_per_s)
        made.append(catalog.Team(team, rate_per_s, burst))
        made.append(key_record(index))
    for number, service in enumerate(plan.services):
        made += _service_records(plan, number, service)
    return made


def _host_records(plan: Deployment, host_count: int) -> list[catalog.Record]:
    made: list[catalog.Record] = []
    for index in range(host_count):
        made.append(
            catalog.Host(
                model.HostId(host_name(index)),
                model.ZoneId(plan.zones[index % len(plan.zones)]),
                REGION,
                host_address(index),
                CALLER_PORT,
                PEER_PORT,
            )
        )
    hosts = tuple(model.HostId(host_name(i)) for i in range(host_count))
    made.append(catalog.Roster(REGION, 1, hosts))
    return made


def _service_records(
    plan: Deployment, number: int, service: ServicePlan
) -> list[catalog.Record]:
    name = model.ServiceId(service.name)
    made: list[catalog.Record] = [
        catalog.Service(name, 0.5, service.slots, service.connections),
        catalog.Route(
            model.RouteId(f"{service.name}-read"), name, service.read_path
        ),
        catalog.Route(
            model.RouteId(f"{service.name}-order"),
            name,
            service.order_path,
            methods=("POST",),
            is_idempotent=False,
        ),
    ]
    for index in range(service.targets):
        zone = plan.zones[index % len(plan.zones)]
        made.append(
            catalog.Target(
                model.TargetId(target_name(service.name, index)),
                name,
                model.ZoneId(zone),
                model.SiteId("site-a" if index % 2 == 0 else "site-b"),
                f"http://{target_bind(number, index)}",
                service.slots,
            )
        )
    return made
