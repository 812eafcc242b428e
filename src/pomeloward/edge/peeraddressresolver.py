"""Resolves host ids to the addresses of peers."""

from pomeloward import model


class PeerAddressResolver:
    """Parses a peer's address from its host id, which is ``ip:port``."""

    def peer_address(self, host: model.HostId) -> tuple[str, int] | None:
        """Return the IP address and peer port, or None if malformed."""
        ip_address, _, port = host.rpartition(":")
        if not ip_address or not port.isdigit():
            return None
        return ip_address, int(port)
