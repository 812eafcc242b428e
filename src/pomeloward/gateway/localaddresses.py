"""The address answer of a host that works by itself."""

import dataclasses

from pomeloward import model
from pomeloward import settings

_LIFETIME_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LocalAddress:
    """Where callers reach the host."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class LocalAnswer:
    """The one address of the host."""

    addresses: tuple[LocalAddress, ...]
    lifetime_ms: float = _LIFETIME_MS


class LocalAddresses:
    """Names this host only."""

    def __init__(self, host_settings: settings.Settings) -> None:
        self._address = LocalAddress(
            host_settings.address, host_settings.caller_port
        )

    def answer(self, team: model.TeamId | None, now_ms: float) -> LocalAnswer:
        """Return the address for every team."""
        return LocalAnswer((self._address,))
