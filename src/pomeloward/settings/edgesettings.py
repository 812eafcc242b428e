"""Settings of a host that the ``pomeloward-edge`` command runs."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    ip_address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorBounds:
    """Bounds that the operators set for the whole fleet.

    The retries of a service may be ``retry_ratio`` of its requests and
    ``retry_slack`` retries more. A process is killed
    ``termination_grace_ms`` after it was told to stop. Callers may cache an
    address response for at most ``max_address_ttl_ms``.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    termination_grace_ms: float = 6_000.0
    max_address_ttl_ms: float = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Settings that a host process reads at its start and on reload.

    The names of changed fields are logged, so a renamed field changes log
    lines.

    ``host`` is the ID of this host, which is also the address where its
    peers connect. The host serves callers' requests at ``callers``,
    readiness checks at ``ready``, its peers at ``peers``, requests that
    peers relay at ``relay`` and address lookups at ``directory``; ``store``
    is the platform's store. Without ``relay`` it takes and sends no relayed
    requests. ``zones``
    are all zones of the fleet. ``seeds`` are the hosts through which this
    host joins the fleet. ``cores`` is the number of processor cores that
    the process may use, ``link_mbps`` the bandwidth of its network link in
    Mbit/s and ``descriptors`` the number of file descriptors it may open.
    ``is_first_start`` is true only when the whole fleet starts for the
    first time.
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
    relay: Endpoint | None = None

    def changed_field_names(self, previous: "EdgeSettings") -> list[str]:
        """Return the names of the fields whose values differ."""
        return [
            field.name
            for field in dataclasses.fields(self)
            if getattr(self, field.name) != getattr(previous, field.name)
        ]
