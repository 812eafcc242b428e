"""The answer to a caller that asks where to connect."""

import dataclasses

from pomeloward import model

# How long a caller may keep an answer. Shorter would let a lost host go
# sooner, and cost each caller more questions.
LIFETIME_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a host serves callers."""

    host: model.HostId
    zone: model.ZoneId
    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Addresses to spread connections over, for ``lifetime_ms``.

    The first ones find a team's tokens without a message to another host.
    """

    addresses: tuple[Address, ...]
    lifetime_ms: float = LIFETIME_MS
