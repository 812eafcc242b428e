"""Records of the configuration, as the platform publishes them."""

import enum

import msgspec

from pomeloward import model


class Host(msgspec.Struct, frozen=True, tag="host", gc=False):
    """An entry host: where peers and callers reach it."""

    id: model.HostId
    zone: model.ZoneId
    region: model.RegionId
    address: str
    caller_port: int
    peer_port: int


class Zone(msgspec.Struct, frozen=True, tag="zone", gc=False):
    """An availability zone; ``is_out`` takes it out of service."""

    id: model.ZoneId
    region: model.RegionId
    is_out: bool = False


class Roster(msgspec.Struct, frozen=True, tag="roster"):
    """The hosts of a region that vote and own, in one published list.

    Up to three rosters may be in circulation; a lease needs a majority of
    voters in each. ``zones`` has the zone of each host, in the same order:
    voters follow from the roster alone, so that hosts with different
    versions of the configuration agree on them. A published roster never
    changes.
    """

    region: model.RegionId
    number: int
    hosts: tuple[model.HostId, ...]
    zones: tuple[model.ZoneId, ...] = ()


class Region(msgspec.Struct, frozen=True, tag="region", gc=False):
    """A region with its number of partitions and share of team budgets."""

    id: model.RegionId
    partitions: int
    budget_share_ratio: float = 1.0


class Team(msgspec.Struct, frozen=True, tag="team", gc=False):
    """A customer with a rate and burst that hold over the whole fleet."""

    id: model.TeamId
    rate_per_s: float
    burst_requests: float
    weight: float = 1.0


class Key(msgspec.Struct, frozen=True, tag="key", gc=False):
    """A team's key, known only by the SHA-256 digest of its bytes."""

    digest: bytes
    team: model.TeamId


class RouteAccess(enum.Enum):
    """Who may use a route."""

    OPEN = "open"
    KEYED = "keyed"


class Route(msgspec.Struct, frozen=True, tag="route", gc=False):
    """A route: methods and a path prefix that lead to a service.

    ``teams`` limits a keyed route to some teams; empty allows every team
    with a key. ``deadline_ms`` is the longest time to the end of the answer's
    headers. Deferrable routes wait behind others but keep a minimum share.
    """

    id: model.RouteId
    service: model.ServiceId
    path_prefix: str
    methods: tuple[str, ...] = ("GET",)
    access: RouteAccess = RouteAccess.KEYED
    is_idempotent: bool = True
    is_deferrable: bool = False
    deadline_ms: float = 10_000.0
    teams: tuple[model.TeamId, ...] = ()


class Service(msgspec.Struct, frozen=True, tag="service", gc=False):
    """A service; ``floor_ratio`` of its capacity is never ejected."""

    id: model.ServiceId
    floor_ratio: float = 0.5
    slots_per_target: int = 2
    connections_per_target: int = 400


class Target(msgspec.Struct, frozen=True, tag="target", gc=False):
    """A back-end server of a service.

    ``is_leaving`` stops new work; running requests end by themselves.
    """

    id: model.TargetId
    service: model.ServiceId
    zone: model.ZoneId
    site: model.SiteId
    url: str
    slots: int = 0
    is_leaving: bool = False


class SiteShare(msgspec.Struct, frozen=True, tag="share", gc=False):
    """The share of a service's traffic that a site gets, 0 to 1."""

    service: model.ServiceId
    site: model.SiteId
    share_ratio: float


Record = (
    Host
    | Zone
    | Roster
    | Region
    | Team
    | Key
    | Route
    | Service
    | Target
    | SiteShare
)
