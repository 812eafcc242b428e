"""Interface of the connections that the heartbeat exchange uses."""

import typing

from pomeloward import model
from pomeloward import peer


class ReconnectablePeers(peer.Peers, typing.Protocol):
    """Connections to other hosts that can be closed and opened anew."""

    def reconnect(self, host: model.HostId) -> None:
        """Close the connection to a silent host.

        The next message to the host opens a new one.
        """
