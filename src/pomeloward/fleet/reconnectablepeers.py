"""What membership needs of the connections to other hosts."""

import typing

from pomeloward import model
from pomeloward import peer


class ReconnectablePeers(peer.Peers, typing.Protocol):
    """Peers whose connections can be given up."""

    def reconnect(self, host: model.HostId) -> None:
        """Give up the connection to a host that has fallen silent."""
