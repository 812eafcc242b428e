"""The ASGI application of a host."""

import collections.abc
import secrets
import typing

import anyio

from pomeloward import model
from pomeloward import settings
from pomeloward.entry import admin
from pomeloward.entry import exchange as exchanges
from pomeloward.entry import handler
from pomeloward.entry import inspection
from pomeloward.entry import recorder as recorders
from pomeloward.entry import separation
from pomeloward.entry import serverconnection
from pomeloward.entry import steps
from pomeloward.entry import websocket
from pomeloward.entry import websocketcall

# 64 random bits: an id is also what its explanation is asked for by.
_REQUEST_ID_BYTES = 8
# How long a draining host waits for an HTTP/2 connection without streams.
_PATIENCE_MS = 5_000.0
Scope = collections.abc.MutableMapping[str, typing.Any]


class Application:
    """Checks each request and hands it to its handler."""

    def __init__(
        self,
        host: steps.HostStatus,
        http: handler.Handler,
        websockets: websocket.WebsocketHandler,
        own: admin.Admin,
        recorder: recorders.Recorder,
        limits: settings.Limits,
    ) -> None:
        self._host = host
        self._http = http
        self._websockets = websockets
        self._own = own
        self._recorder = recorder
        self._limits = limits
        self._draining_since_ms: float | None = None

    async def __call__(
        self,
        scope: Scope,
        receive: exchanges.Receive,
        send: exchanges.Send,
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "websocket":
            await self._websocket(scope, receive, send)
        else:
            await self._request(scope, receive, send)

    async def _request(
        self,
        scope: Scope,
        receive: exchanges.Receive,
        send: exchanges.Send,
    ) -> None:
        now_ms = anyio.current_time() * 1_000
        is_draining = self._host.state is model.HostState.DRAINING
        request_id = _request_id()
        exchange = exchanges.Exchange(
            request_id, scope, receive, send, is_draining
        )
        try:
            inspected = inspection.inspect(
                scope, request_id, self._limits, self._is_key
            )
            if inspected.is_error():
                self._recorder.refused(inspected.error, request_id)
                exchange.is_last = True
                await exchange.refuse(inspected.error)
            elif inspected.ok.path.startswith(admin.PREFIX):
                await self._own.handle(inspected.ok, exchange)
            else:
                await self._http.handle(inspected.ok, exchange, now_ms)
        except Exception as error:  # noqa: BLE001
            # A fault in one request must not end its connection unanswered.
            await self._failed(exchange, error)
        finally:
            self._recorder.ended(request_id, exchange.status, now_ms)
        if self._host.state is model.HostState.DRAINING:
            await self._announce_end(send)

    async def _announce_end(self, send: exchanges.Send) -> None:
        now_ms = anyio.current_time() * 1_000
        if self._draining_since_ms is None:
            self._draining_since_ms = now_ms
        is_patient = now_ms - self._draining_since_ms < _PATIENCE_MS
        await serverconnection.announce_end(send, is_patient)

    async def _websocket(
        self,
        scope: Scope,
        receive: exchanges.Receive,
        send: exchanges.Send,
    ) -> None:
        now_ms = anyio.current_time() * 1_000
        request_id = _request_id()
        call = websocketcall.WebsocketCall(request_id, receive, send)
        try:
            inspected = inspection.inspect(
                scope, request_id, self._limits, self._is_key
            )
            if inspected.is_error():
                await call.refuse(inspected.error)
            else:
                await self._websockets.handle(
                    inspected.ok,
                    call,
                    _subprotocols(inspected.ok.headers),
                    now_ms,
                )
        finally:
            self._recorder.ended(request_id, call.status, now_ms)

    async def _failed(
        self, exchange: exchanges.Exchange, error: Exception
    ) -> None:
        # The text of an unexpected error could hold request data, so that
        # only its type is recorded.
        name = type(error).__name__
        if isinstance(error, BaseExceptionGroup):
            name = ", ".join(type(e).__name__ for e in error.exceptions)
        self._recorder.decision("internal_error", name, exchange.request)
        if exchange.is_started:
            await exchange.abort()
            return
        await exchange.refuse(
            model.Refusal(model.ErrorKind.INTERNAL, "internal error")
        )

    def _is_key(self, digest: bytes) -> bool:
        return self._host.view.team_of_key(digest) is not None


def _subprotocols(headers: separation.Headers) -> list[str]:
    """Return what the caller offers, without a key that came as one."""
    return [
        part.strip()
        for name, value in headers
        if name == b"sec-websocket-protocol"
        for part in value.decode("latin-1").split(",")
    ]


def _request_id() -> model.RequestId:
    return model.RequestId(secrets.token_hex(_REQUEST_ID_BYTES))


async def _lifespan(receive: exchanges.Receive, send: exchanges.Send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return
