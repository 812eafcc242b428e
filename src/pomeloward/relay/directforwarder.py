"""Forwards requests directly, while this host has a path to the targets."""

import collections.abc

import anyio
import expression

from pomeloward import model
from pomeloward.relay import admittedrequest
from pomeloward.relay import forwarding
from pomeloward.relay import pathmonitor
from pomeloward.relay import requestlogentry

# About the time until a check may find the path again.
_RETRY_AFTER_MS = 500.0


class DirectForwarder:
    """Forwards requests to targets as long as that can succeed.

    Without a path to the targets, requests that another host may serve are
    refused with ``NO_TARGET_PATH``: new ones, those that have not run, and
    open ones that may run again. While a check of the path is under way, they
    wait for its result, as what is sent into a broken path is lost. If no
    other host has a path either, it is the targets that are away, and
    requests are forwarded as usual.
    """

    def __init__(
        self,
        forwarder: forwarding.Forwarding,
        path_monitor: pathmonitor.PathMonitor,
        has_peer_with_path: collections.abc.Callable[[], bool],
    ) -> None:
        self._forwarder = forwarder
        self._path_monitor = path_monitor
        self._has_peer_with_path = has_peer_with_path
        self._open_repeatable: dict[
            anyio.CancelScope, admittedrequest.AdmittedRequest
        ] = {}

    async def forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return a target's response, or a refusal."""
        await self._path_monitor.wait_for_check()
        if self._can_only_peers_serve():
            return refuse_without_path()
        forwarded: forwarding.ForwardResult | None = None
        with anyio.CancelScope() as scope:
            if request.can_repeat:
                self._open_repeatable[scope] = request
            try:
                forwarded = await self._forwarder.forward(request, log_entry)
            finally:
                self._open_repeatable.pop(scope, None)
        if forwarded is None:
            return _refuse_interrupted(request)
        if forwarded.is_ok():
            return forwarded
        if forwarded.error.run_state is model.RunState.NOT_RUN:
            await self._path_monitor.wait_for_check()
            if self._can_only_peers_serve():
                return refuse_without_path()
        return forwarded

    def interrupt_repeatable_requests(self) -> None:
        """End the open requests that another host can serve, if one can.

        While targets still answer on connections from before, those that were
        sent stay open.
        """
        if not self._has_peer_with_path():
            return
        is_silent = self._path_monitor.is_silent(model.now_ms())
        for scope, request in self._open_repeatable.items():
            if not request.can_repeat:
                continue
            was_sent = request.run_evidence.proof is None
            if not was_sent or (is_silent and request.attempts_left > 0):
                scope.cancel()

    def _can_only_peers_serve(self) -> bool:
        return self._path_monitor.is_lost and self._has_peer_with_path()


def refuse_without_path() -> forwarding.ForwardResult:
    """Return the refusal of a request that another host may serve."""
    return expression.Error(
        model.Refusal(
            model.ErrorKind.NO_TARGET_PATH,
            "this host can connect to no target",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    )


def _refuse_interrupted(
    request: admittedrequest.AdmittedRequest,
) -> forwarding.ForwardResult:
    if request.run_evidence.proof is not None:
        return refuse_without_path()
    return expression.Error(
        model.Refusal(
            model.ErrorKind.TARGET_FAILED,
            "the path to the target was lost while the request was open",
        )
    )
