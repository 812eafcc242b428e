"""Forwards requests through peers while this host has no path."""

import collections.abc

import expression

from pomeloward import model
from pomeloward.relay import admittedrequest
from pomeloward.relay import forwarding
from pomeloward.relay import pathmonitor
from pomeloward.relay import peerrelay
from pomeloward.relay import requestlogentry

# About the time until a check may find the path again.
_RETRY_AFTER_MS = 500.0


class RelayingForwarder:
    """Forwards callers' requests directly, or relays them to a peer.

    Callers keep an address for seconds, so that a host without a path to
    targets goes on getting requests. If no peer has a path either, it is
    the targets that are away, and requests are forwarded directly.
    """

    def __init__(
        self,
        direct: forwarding.Forwarding,
        peer_relay: peerrelay.PeerRelay,
        path_monitor: pathmonitor.PathMonitor,
    ) -> None:
        self._direct = direct
        self._peer_relay = peer_relay
        self._path_monitor = path_monitor

    async def forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return a target's response, or a refusal."""
        if self._path_monitor.is_lost:
            relayed = await self._peer_relay.try_forward(request, log_entry)
            if relayed is not None:
                return relayed
            return await self._direct.forward(request, log_entry)
        forwarded = await self._direct.forward(request, log_entry)
        if _may_relay(forwarded, self._path_monitor.is_lost):
            relayed = await self._peer_relay.try_forward(request, log_entry)
            return relayed if relayed is not None else forwarded
        return forwarded


class RelayedRequestForwarder:
    """Forwards requests that peers relay, unless this host has no path."""

    def __init__(
        self,
        direct: forwarding.Forwarding,
        path_monitor: pathmonitor.PathMonitor,
        has_peer_with_path: collections.abc.Callable[[], bool],
    ) -> None:
        self._direct = direct
        self._path_monitor = path_monitor
        self._has_peer_with_path = has_peer_with_path

    async def forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return a target's response, or a refusal.

        The peer tries another host if this one has no path.
        """
        refusal = self._refuse_without_path()
        if refusal is not None:
            return expression.Error(refusal)
        forwarded = await self._direct.forward(request, log_entry)
        if _may_relay(forwarded, self._path_monitor.is_lost):
            refusal = self._refuse_without_path()
        return forwarded if refusal is None else expression.Error(refusal)

    def _refuse_without_path(self) -> model.Refusal | None:
        if not self._path_monitor.is_lost or not self._has_peer_with_path():
            return None
        return model.Refusal(
            model.ErrorKind.NO_TARGET_PATH,
            "this host can connect to no target",
            retry_after_ms=_RETRY_AFTER_MS,
        )


def _may_relay(forwarded: forwarding.ForwardResult, is_lost: bool) -> bool:
    """Return whether a peer may serve a request that was refused here.

    That takes certainty that it has not run, and a reason in this host's
    path to the targets.
    """
    if not forwarded.is_error():
        return False
    refusal = forwarded.error
    return refusal.kind is model.ErrorKind.NO_TARGET_PATH or (
        is_lost and refusal.run_state is model.RunState.NOT_RUN
    )
