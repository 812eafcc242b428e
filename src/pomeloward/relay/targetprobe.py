"""Checks whether targets accept connections."""

import typing

import anyio

from pomeloward import replica

# Like an attempt's own connection, see ``targetclient``.
_TIMEOUT_S = 0.25


class TargetProbe(typing.Protocol):
    """Tells whether a target can be reached now."""

    async def accepts_connections(self, target: replica.Target) -> bool:
        """Return whether a new connection to the target succeeds."""


class TcpTargetProbe:
    """Opens a connection from a host's own address, and closes it."""

    def __init__(self, local_address: str) -> None:
        self._local_address = local_address

    async def accepts_connections(self, target: replica.Target) -> bool:
        """Return whether a new connection to the target succeeds."""
        address, _, port = target.address.rpartition(":")
        with anyio.move_on_after(_TIMEOUT_S):
            try:
                stream = await anyio.connect_tcp(
                    address, int(port), local_host=self._local_address
                )
            except (OSError, ValueError, OverflowError):
                return False
            await stream.aclose()
            return True
        return False
