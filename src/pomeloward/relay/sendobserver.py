"""Observes how far the HTTP transport gets with a request."""

import typing

from pomeloward import dispatch

# httpcore traces this event before it sends the first byte of a request.
_SEND_STARTED_EVENT = "http11.send_request_headers.started"


class SendObserver:
    """Observes whether the transport has started to send a request.

    From then on the receiver may run it.
    """

    def __init__(self, run_evidence: dispatch.RunEvidence) -> None:
        self.has_started = False
        self._run_evidence = run_evidence

    async def observe(self, event: str, info: dict[str, typing.Any]) -> None:
        """Record the start of sending; called for each transport event."""
        if event == _SEND_STARTED_EVENT and not self.has_started:
            self.has_started = True
            self._run_evidence.mark_sent()
