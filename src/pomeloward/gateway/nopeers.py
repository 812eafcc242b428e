"""Connections of a host that has no peers."""

import anyio

from pomeloward import model
from pomeloward import peer


class NoPeers:
    """Reaches only this host itself, without a connection."""

    def __init__(self, own: model.HostId) -> None:
        self._own = own
        self._handlers: dict[type[peer.Message], peer.MessageHandler] = {}

    async def request(
        self, host: model.HostId, question: peer.Message, timeout_ms: float
    ) -> peer.Message:
        """Answer a question to this host; raises ``PeerUnavailable``."""
        answer = self._call(host, question)
        if answer is None:
            raise model.PeerUnavailable(f"host {host} is not in a fleet")
        return answer

    def notify(self, host: model.HostId, notice: peer.Message) -> None:
        """Take a notice to this host and drop others."""
        self._call(host, notice)

    def register_handler(
        self, message_type: type[peer.Message], handler: peer.MessageHandler
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def _call(
        self, host: model.HostId, message: peer.Message
    ) -> peer.Message | None:
        handler = self._handlers.get(type(message))
        if host != self._own or handler is None:
            return None
        return handler(host, message, anyio.current_time() * 1_000)
