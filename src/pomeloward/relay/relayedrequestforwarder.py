"""Forwards the requests that peers relay to this host."""

from pomeloward.relay import admittedrequest
from pomeloward.relay import directforwarder
from pomeloward.relay import forwarding
from pomeloward.relay import pathmonitor
from pomeloward.relay import requestlogentry


class RelayedRequestForwarder:
    """Forwards relayed requests while this host is sure of its own path.

    During a check they are refused at once, since the peer can try another
    host in the time that the check takes.
    """

    def __init__(
        self,
        direct: forwarding.Forwarding,
        path_monitor: pathmonitor.PathMonitor,
    ) -> None:
        self._direct = direct
        self._path_monitor = path_monitor

    async def forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return a target's response, or a refusal."""
        if self._path_monitor.is_checking:
            return directforwarder.refuse_without_path()
        return await self._direct.forward(request, log_entry)
