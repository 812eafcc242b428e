"""Hands received messages to their handlers."""

import collections.abc

import anyio
import eliot

from pomeloward import model
from pomeloward.peer import message
from pomeloward.peer import peers
from pomeloward.peer import pending
from pomeloward.peer import traffic
from pomeloward.peer import wireformat

# Sends an answer back on the connection that the question came on.
Reply = collections.abc.Callable[
    [wireformat.EnvelopeKind, int, message.Message | None], None
]


class Dispatcher:
    """The handlers of a host and the delivery of envelopes to them."""

    def __init__(
        self, open_questions: pending.Pending, counters: traffic.Traffic
    ) -> None:
        self._handlers: dict[type[message.Message], peers.MessageHandler] = {}
        self._pending = open_questions
        self._traffic = counters

    def handle(
        self,
        message_type: type[message.Message],
        handler: peers.MessageHandler,
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def deliver(
        self, host: model.HostId, envelope: wireformat.Envelope, reply: Reply
    ) -> None:
        """Process one envelope from an authenticated host."""
        self._traffic.received(envelope.tag, envelope.size)
        if envelope.kind in (
            wireformat.EnvelopeKind.RESPONSE,
            wireformat.EnvelopeKind.NO_RESPONSE,
        ):
            self._pending.resolve(host, envelope.ask_id, envelope.message)
            return
        answer = None
        if envelope.message is not None:
            answer = self.call(host, envelope.message)
        if envelope.kind is wireformat.EnvelopeKind.REQUEST:
            kind = (
                wireformat.EnvelopeKind.NO_RESPONSE
                if answer is None
                else wireformat.EnvelopeKind.RESPONSE
            )
            reply(kind, envelope.ask_id, answer)

    def call(
        self, host: model.HostId, content: message.Message
    ) -> message.Message | None:
        """Run the handler of a message; its faults stay with it."""
        handler = self._handlers.get(type(content))
        if handler is None:
            return None
        try:
            return handler(host, content, anyio.current_time() * 1000)
        # A fault in one handler must not end the connection, which carries
        # the messages of all other modules too.
        except Exception:  # noqa: BLE001
            eliot.write_traceback()
            return None
