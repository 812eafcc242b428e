"""Settings of a host on the users' platform."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    ip_address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorBounds:
    """The bounds that the operators hold the fleet to.

    Repeats of a service may be ``retry_ratio`` of its requests and
    ``retry_slack`` more. A stopping process has ``stop_ms`` until it is
    killed. Callers keep an address answer for ``address_ms`` at most.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    termination_grace_ms: float = 6_000.0
    max_address_ttl_ms: float = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """What a host process is told at its start.

    ``host`` is where its peers reach it. ``cores`` is its share of
    processor cores, ``link_mbps`` the bandwidth of its link, and
    ``is_first_start`` tells that the fleet starts for the first time.
    """

    name: str
    host: model.HostId
    zone: model.ZoneId
    zones: tuple[model.ZoneId, ...]
    callers: Endpoint
    ready: Endpoint
    peers: Endpoint
    directory: Endpoint
    store: Endpoint
    seeds: tuple[model.HostId, ...]
    is_first_start: bool
    cores: float
    link_mbps: float
    descriptors: int
    bounds: OperatorBounds = OperatorBounds()

    def changed_field_names(self, known: "EdgeSettings") -> list[str]:
        """Return the names of the fields that differ."""
        return [
            field.name
            for field in dataclasses.fields(self)
            if getattr(self, field.name) != getattr(known, field.name)
        ]
