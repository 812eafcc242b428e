"""Observes how far the HTTP transport gets with a request."""

import typing

from pomeloward import dispatch
from pomeloward import wire


class SendObserver:
    """Observes whether the transport has started to send a request.

    From then on the receiver may run it. ``connection_use`` names the
    connection, and is None before.
    """

    def __init__(self, run_evidence: dispatch.RunEvidence) -> None:
        self.has_started = False
        self.connection_use: wire.ConnectionUse | None = None
        self._run_evidence = run_evidence

    async def observe(self, event: str, info: dict[str, typing.Any]) -> None:
        """Record the start of sending; called for each transport event."""
        if event == wire.SEND_STARTED and not self.has_started:
            self.has_started = True
            self.connection_use = info.get("use")
            self._run_evidence.mark_sent()
