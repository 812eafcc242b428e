"""Where the peers of a host listen."""

import typing

from pomeloward import model


class Directory(typing.Protocol):
    """Addresses of the hosts of the fleet, from the configuration."""

    def peer_address(self, host: model.HostId) -> tuple[str, int] | None:
        """Return the IP address and peer port of a host, or None."""
