"""Forwards requests through peers where this host has no path."""

from pomeloward import model
from pomeloward import retry
from pomeloward.relay import admittedrequest
from pomeloward.relay import forwarding
from pomeloward.relay import pathmonitor
from pomeloward.relay import peerrelay
from pomeloward.relay import requestlogentry


class RelayingForwarder:
    """Forwards callers' requests directly, or relays them to a peer.

    Callers keep an address for seconds, so that a host without a path to
    targets goes on getting requests. To relay one that may have run is a
    retry.
    """

    def __init__(
        self,
        direct: forwarding.Forwarding,
        peer_relay: peerrelay.PeerRelay,
        path_monitor: pathmonitor.PathMonitor,
        retry_budgets: retry.ServiceRetryBudgets,
    ) -> None:
        self._direct = direct
        self._peer_relay = peer_relay
        self._path_monitor = path_monitor
        self._retry_budgets = retry_budgets

    async def forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return a target's response, or a refusal."""
        forwarded = await self._direct.forward(request, log_entry)
        if forwarded.is_ok() or not self._may_relay(request, forwarded.error):
            return forwarded
        relayed = await self._peer_relay.try_forward(request, log_entry)
        return relayed if relayed is not None else forwarded

    def _may_relay(
        self,
        request: admittedrequest.AdmittedRequest,
        refusal: model.Refusal,
    ) -> bool:
        """Return whether a peer may serve a request that failed here.

        The reason has to be this host's path to the targets.
        """
        if refusal.kind is model.ErrorKind.NO_TARGET_PATH:
            return True
        return (
            self._path_monitor.is_lost
            and request.can_repeat
            and request.attempts_left > 0
            and self._retry_budgets.budget_for(
                request.service_id
            ).try_take_token()
        )
