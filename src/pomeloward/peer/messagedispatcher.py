"""Dispatches received messages to their handlers."""

import collections.abc

import anyio
import eliot

from pomeloward import model
from pomeloward.peer import message
from pomeloward.peer import peers
from pomeloward.peer import pendingrequests
from pomeloward.peer import trafficcounters
from pomeloward.peer import wireformat

# Sends a response with its envelope kind and correlation id on the
# connection that the request came on.
SendResponse = collections.abc.Callable[
    [wireformat.EnvelopeKind, int, message.Message | None], None
]


class MessageDispatcher:
    """Holds the message handlers of a host and dispatches envelopes."""

    def __init__(
        self,
        pending_requests: pendingrequests.PendingRequests,
        traffic_counters: trafficcounters.TrafficCounters,
    ) -> None:
        self._handlers: dict[type[message.Message], peers.MessageHandler] = {}
        self._pending_requests = pending_requests
        self._traffic_counters = traffic_counters

    def register_handler(
        self,
        message_type: type[message.Message],
        handler: peers.MessageHandler,
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def dispatch(
        self,
        sender: model.HostId,
        envelope: wireformat.Envelope,
        send_response: SendResponse,
    ) -> None:
        """Complete a pending request or run the handler of a message."""
        self._traffic_counters.count_received(
            envelope.message_tag, envelope.size_bytes
        )
        if envelope.kind in (
            wireformat.EnvelopeKind.RESPONSE,
            wireformat.EnvelopeKind.NO_RESPONSE,
        ):
            self._pending_requests.try_complete(
                sender, envelope.correlation_id, envelope.message
            )
            return
        response = None
        if envelope.message is not None:
            response = self.run_handler(sender, envelope.message)
        if envelope.kind is wireformat.EnvelopeKind.REQUEST:
            kind = (
                wireformat.EnvelopeKind.NO_RESPONSE
                if response is None
                else wireformat.EnvelopeKind.RESPONSE
            )
            send_response(kind, envelope.correlation_id, response)

    def run_handler(
        self, sender: model.HostId, content: message.Message
    ) -> message.Message | None:
        """Return the response of a message's handler.

        Returns None if there is no handler, if it gives no response, or if
        it raises an exception, which is logged.
        """
        handler = self._handlers.get(type(content))
        if handler is None:
            return None
        try:
            return handler(sender, content, anyio.current_time() * 1000)
        # An exception in one handler must not end the connection, which also
        # carries the messages of all other modules.
        except Exception:  # noqa: BLE001
            eliot.write_traceback()
            return None
