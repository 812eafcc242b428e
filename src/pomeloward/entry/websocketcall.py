"""The caller's side of one websocket."""

from pomeloward import model
from pomeloward.entry import exchange as exchanges

_INTERNAL = 1011
# Codes that stand for a missing code or a lost connection are not sent
# (RFC 6455, section 7.4.1).
_NOT_SENT = frozenset({1005, 1006, 1015})


class WebsocketCall:
    """The caller's side of one websocket over ASGI."""

    def __init__(
        self,
        request: model.RequestId,
        receive: exchanges.Receive,
        send: exchanges.Send,
    ) -> None:
        self.request = request
        self.receive = receive
        self.status = 0
        self._send = send
        self._is_closed = False

    async def accept(self, subprotocol: str | None) -> None:
        """Accept the caller's handshake."""
        self.status = 101
        await self._send(
            {
                "type": "websocket.accept",
                "subprotocol": subprotocol,
                "headers": [
                    (b"pomeloward-request-id", self.request.encode("ascii"))
                ],
            }
        )

    async def message(self, data: str | bytes) -> None:
        """Send a message to the caller."""
        field = "text" if isinstance(data, str) else "bytes"
        await self._send({"type": "websocket.send", field: data})

    async def close(self, code: int) -> None:
        """Close an accepted websocket; later calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        sent = _INTERNAL if code in _NOT_SENT else code
        await self._send({"type": "websocket.close", "code": sent})

    async def refuse(
        self, refusal: model.Refusal, may_have_run: bool = False
    ) -> None:
        """Answer the handshake with a refusal."""
        run = model.RunState.UNKNOWN if may_have_run else refusal.run_state
        self.status = refusal.rule.status
        self._is_closed = True
        body = exchanges.refusal_body(refusal, self.request, run)
        await self._send(
            {
                "type": "websocket.http.response.start",
                "status": self.status,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", b"%d" % len(body)),
                    *exchanges.refusal_headers(refusal, run),
                ],
            }
        )
        await self._send(
            {"type": "websocket.http.response.body", "body": body}
        )
