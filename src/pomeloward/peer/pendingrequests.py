"""Requests that wait for their responses."""

import anyio

from pomeloward import model
from pomeloward.peer import message


class _PendingRequest:
    """A request to one host.

    When ``completed`` is set, ``response`` is None if the request failed.
    """

    __slots__ = ("response", "completed", "host")

    def __init__(self, host: model.HostId) -> None:
        self.host = host
        self.completed = anyio.Event()
        self.response: message.Message | None = None


class PendingRequests:
    """The pending requests of a host by their correlation ids.

    An id is never reused, and only the host that the request went to can
    complete it. Late and duplicate responses and those from other hosts are
    ignored.
    """

    def __init__(self) -> None:
        self._requests_by_id: dict[int, _PendingRequest] = {}
        self._last_id = 0

    def add(self, host: model.HostId) -> int:
        """Add a request to a host and return its correlation id."""
        self._last_id += 1
        self._requests_by_id[self._last_id] = _PendingRequest(host)
        return self._last_id

    async def wait_for_response(
        self, correlation_id: int, timeout_ms: float
    ) -> message.Message:
        """Return the response of a request.

        Raises ``PeerUnavailable`` if the request times out or fails.
        """
        pending_request = self._requests_by_id[correlation_id]
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await pending_request.completed.wait()
        finally:
            self._requests_by_id.pop(correlation_id, None)
        if pending_request.response is None:
            raise model.PeerUnavailable(
                f"no response from {pending_request.host}"
            )
        return pending_request.response

    def try_complete(
        self,
        host: model.HostId,
        correlation_id: int,
        response: message.Message | None,
    ) -> bool:
        """Complete a request with its response, or None if it failed.

        Returns False if no such request to this host is pending.
        """
        pending_request = self._requests_by_id.get(correlation_id)
        if pending_request is None or pending_request.host != host:
            return False
        del self._requests_by_id[correlation_id]
        pending_request.response = response
        pending_request.completed.set()
        return True

    def fail_requests_to(self, host: model.HostId) -> None:
        """Fail all requests to a host whose connection has ended."""
        for correlation_id, pending_request in list(
            self._requests_by_id.items()
        ):
            if pending_request.host == host:
                self.try_complete(host, correlation_id, None)
