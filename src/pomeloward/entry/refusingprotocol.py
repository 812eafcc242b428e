"""HTTP/1.1 whose malformed requests get a refusal like any other."""

import secrets

import h11
from hypercorn.protocol import h11 as protocols

from pomeloward import model
from pomeloward.entry import exchange as exchanges

_KINDS = {
    408: model.ErrorKind.HEAD_TIMEOUT,
    431: model.ErrorKind.HEADERS_TOO_LARGE,
}
_DETAILS = {
    model.ErrorKind.HEAD_TIMEOUT: "the head was not complete in time",
}


class RefusingProtocol(protocols.H11Protocol):  # type: ignore[misc]
    """Answers what the parser rejects in the form of section 6."""

    async def refuse_late_head(self) -> None:
        """Refuse a request whose head took too long."""
        if self.connection.our_state is h11.IDLE:
            await self._send_error_response(408)

    async def _send_error_response(self, status_code: int) -> None:
        kind = _KINDS.get(status_code, model.ErrorKind.BAD_REQUEST)
        detail = _DETAILS.get(kind, "the request is malformed")
        refusal = model.Refusal(kind, detail)
        request_id = model.RequestId(secrets.token_hex(8))
        body = exchanges.refusal_body(refusal, request_id, refusal.run_state)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
            *exchanges.refusal_headers(refusal, refusal.run_state),
        ]
        await self._send_h11_event(
            h11.Response(status_code=status_code, headers=headers)
        )
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())
