"""Proxies a caller's websocket to a target."""

import collections.abc
import typing

import anyio
import websockets
from websockets.asyncio import client

from pomeloward import dispatch
from pomeloward import model
from pomeloward import queue
from pomeloward import service
from pomeloward import settings
from pomeloward.entry import callerrequest
from pomeloward.entry import exchange as exchanges
from pomeloward.entry import gatekeeper as gatekeepers
from pomeloward.entry import grant as grants
from pomeloward.entry import openwork
from pomeloward.entry import recorder as recorders
from pomeloward.entry import steps

# Close codes of RFC 6455, section 7.4.
_GOING_AWAY = 1001
_POLICY = 1008
_INTERNAL = 1011
# Codes that stand for a missing code or a lost connection are not sent.
_NOT_SENT = frozenset({1005, 1006, 1015})
_HANDSHAKE_PREFIX = b"sec-websocket-"
_QUEUED_MESSAGES = 8


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

    async def refuse(self, refusal: model.Refusal) -> None:
        """Answer the handshake with a refusal."""
        self.status = refusal.rule.status
        self._is_closed = True
        body = exchanges.refusal_body(refusal, self.request)
        await self._send(
            {
                "type": "websocket.http.response.start",
                "status": self.status,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", b"%d" % len(body)),
                    *exchanges.refusal_headers(refusal),
                ],
            }
        )
        await self._send(
            {"type": "websocket.http.response.body", "body": body}
        )


class WebsocketHandler:
    """Runs websockets through the steps of a host.

    A websocket needs a slot of its target only for the handshake; after
    that it counts against the target's connections.
    """

    def __init__(
        self,
        gatekeeper: gatekeepers.Gatekeeper,
        budget: steps.Budget,
        admission: dispatch.Admission,
        targets: dispatch.Targets,
        open_work: openwork.OpenWork,
        recorder: recorders.Recorder,
        limits: settings.Limits,
    ) -> None:
        self._gatekeeper = gatekeeper
        self._budget = budget
        self._admission = admission
        self._targets = targets
        self._open_work = open_work
        self._recorder = recorder
        self._limits = limits

    async def handle(
        self,
        request: callerrequest.CallerRequest,
        call: WebsocketCall,
        subprotocols: collections.abc.Sequence[str],
        now_ms: float,
    ) -> None:
        """Serve a websocket from its handshake to its end."""
        granted = self._gatekeeper.decide(
            request, len(self._open_work), now_ms
        )
        if granted.is_error():
            await self._refuse(call, granted.error)
            return
        grant = granted.ok
        async with anyio.create_task_group() as tasks:
            work = self._open_work.add(request.id, grant, tasks.cancel_scope)
            try:
                await self._run(request, grant, call, subprotocols, now_ms)
            finally:
                self._open_work.remove(work)
        if work.ended_by is None:
            return
        refusal = model.Refusal(work.ended_by, "the websocket was ended")
        self._recorder.refused(refusal, request.id, grant.team)
        if call.status == 101:
            await call.close(_POLICY)
        else:
            await call.refuse(refusal)

    async def _run(
        self,
        request: callerrequest.CallerRequest,
        grant: grants.Grant,
        call: WebsocketCall,
        subprotocols: collections.abc.Sequence[str],
        now_ms: float,
    ) -> None:
        if grant.team != grants.NO_TEAM:
            taken = await self._budget.take(grant.team)
            if taken.is_error():
                await self._refuse(call, taken.error)
                return
        ticket = queue.Ticket(
            service=grant.route.service,
            team=grant.team,
            arrived_ms=now_ms,
            deadline_ms=now_ms + grant.route.deadline_ms,
            is_deferrable=grant.route.is_deferrable,
            weight=grant.weight,
            route=grant.route.id,
        )
        acquired = await self._admission.acquire(ticket)
        if acquired.is_error():
            await self._refuse(call, acquired.error)
            return
        connection = await self._connect(
            request, grant, acquired.ok, subprotocols
        )
        if connection is None:
            await self._refuse(
                call,
                model.Refusal(
                    model.ErrorKind.TARGET_FAILED,
                    "the target refused the websocket",
                ),
            )
            return
        try:
            await call.receive()  # The caller's websocket.connect.
            await call.accept(connection.subprotocol)
            await _pump(call, connection)
        finally:
            with anyio.move_on_after(1.0, shield=True):
                await connection.close(_GOING_AWAY)

    async def _connect(
        self,
        request: callerrequest.CallerRequest,
        grant: grants.Grant,
        hold: dispatch.SlotHold,
        subprotocols: collections.abc.Sequence[str],
    ) -> client.ClientConnection | None:
        """Open the websocket to the target; None when it fails."""
        outcome = service.Outcome.CANCELLED
        started_s = anyio.current_time()
        try:
            target = self._targets.target(hold.target)
            if target is None or not hold.is_valid(started_s * 1_000):
                return None
            connection = await self._open(
                target.url, request, grant, subprotocols
            )
            outcome = service.Outcome.OK
            return connection
        except (OSError, websockets.WebSocketException) as error:
            outcome = (
                service.Outcome.CONNECT_FAILED
                if isinstance(error, OSError)
                else service.Outcome.ERROR
            )
            return None
        finally:
            latency_ms = (anyio.current_time() - started_s) * 1_000
            hold.release(outcome, latency_ms)

    async def _open(
        self,
        url: str,
        request: callerrequest.CallerRequest,
        grant: grants.Grant,
        subprotocols: collections.abc.Sequence[str],
    ) -> client.ClientConnection:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.headers
            if not name.startswith(_HANDSHAKE_PREFIX) and name != b"host"
        ]
        headers.append(("pomeloward-request-id", request.id))
        if grant.team:
            headers.append(("pomeloward-team", grant.team))
        path = request.target_path.decode("ascii")
        return await client.connect(
            "ws" + url.removeprefix("http").rstrip("/") + path,
            additional_headers=headers,
            subprotocols=typing.cast(
                "list[websockets.Subprotocol]", list(subprotocols)
            )
            or None,
            compression=None,
            user_agent_header=None,
            proxy=None,
            open_timeout=grant.route.deadline_ms / 1_000,
            max_size=self._limits.websocket_message_bytes,
            max_queue=_QUEUED_MESSAGES,
        )

    async def _refuse(
        self, call: WebsocketCall, refusal: model.Refusal
    ) -> None:
        self._recorder.refused(refusal, call.request)
        await call.refuse(refusal)


async def _pump(
    call: WebsocketCall, connection: client.ClientConnection
) -> None:
    """Pass messages both ways until one side closes."""

    async def to_target() -> None:
        while True:
            message = await call.receive()
            if message["type"] != "websocket.receive":
                tasks.cancel_scope.cancel()
                return
            data = message.get("text")
            try:
                await connection.send(
                    data if data is not None else message["bytes"]
                )
            except websockets.ConnectionClosed:
                return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(to_target)
        try:
            while True:
                await call.message(await connection.recv())
        except websockets.ConnectionClosed:
            await call.close(connection.close_code or _INTERNAL)
        tasks.cancel_scope.cancel()
