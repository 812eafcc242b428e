"""Interface for messages to and from the other hosts."""

import collections.abc
import typing

from pomeloward import model
from pomeloward.peer import message

# Receives the sender, the message and the time in milliseconds of the event
# loop's clock. Returns the response, or None if there is none.
MessageHandler = collections.abc.Callable[
    [model.HostId, message.Message, float], message.Message | None
]


class Peers(typing.Protocol):
    """Sends messages to the other hosts of the fleet and handles theirs."""

    async def request(
        self,
        host: model.HostId,
        request_message: message.Message,
        timeout_ms: float,
    ) -> message.Message:
        """Send a request and return its response.

        Raises ``PeerUnavailable`` if no response arrives within
        ``timeout_ms``. The peer may still have handled the request.
        """

    def notify(
        self, host: model.HostId, notification: message.Message
    ) -> None:
        """Send a message that has no response and may be lost."""

    def register_handler(
        self, message_type: type[message.Message], handler: MessageHandler
    ) -> None:
        """Register the handler of a message type."""
