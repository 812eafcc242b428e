"""Lookup of the addresses at which peers listen."""

import typing

from pomeloward import model


class AddressResolver(typing.Protocol):
    """Resolves host ids to the addresses for peer connections."""

    def peer_address(self, host: model.HostId) -> tuple[str, int] | None:
        """Return the IP address and peer port, or None if unknown."""
