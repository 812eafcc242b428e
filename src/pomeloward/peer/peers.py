"""How the parts of a host talk to other hosts."""

import collections.abc
import typing

from pomeloward import model
from pomeloward.peer import message

# Handles a message from a peer at a time in milliseconds of the runtime's
# clock, and returns the answer, or None where none is due.
MessageHandler = collections.abc.Callable[
    [model.HostId, message.Message, float], message.Message | None
]


class Peers(typing.Protocol):
    """Connections to the other hosts of the fleet."""

    async def request(
        self, host: model.HostId, question: message.Message, timeout_ms: float
    ) -> message.Message:
        """Send a question and return its answer.

        Raises ``PeerUnavailable`` when no answer came in ``timeout_ms``. The
        question may still have been handled.
        """

    def notify(self, host: model.HostId, notice: message.Message) -> None:
        """Send a notice that needs no answer and may be lost."""

    def register_handler(
        self, message_type: type[message.Message], handler: MessageHandler
    ) -> None:
        """Register the handler of a message type."""
