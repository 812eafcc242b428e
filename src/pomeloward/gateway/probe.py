"""Connects to a target once to see whether it can be reached."""

import anyio

from pomeloward import dispatch
from pomeloward import model

# A probe takes 25 ms where nothing is wrong.
_WAIT_S = 1.0


class Probe:
    """Opens and closes a connection from the host's own address."""

    def __init__(self, targets: dispatch.Targets, address: str) -> None:
        self._targets = targets
        self._address = address

    async def __call__(self, target: model.TargetId) -> bool:
        """Tell whether a target accepts a connection."""
        record = self._targets.find(target)
        if record is None:
            return False
        host, port = dispatch.host_and_port(record.url)
        try:
            with anyio.fail_after(_WAIT_S):
                stream = await anyio.connect_tcp(
                    host, port, local_host=self._address
                )
                await stream.aclose()
        except (OSError, TimeoutError):
            return False
        return True
