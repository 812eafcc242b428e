"""Proxies a caller's websocket to a target."""

import collections.abc

import anyio
import websockets
from websockets.asyncio import client

from pomeloward import dispatch
from pomeloward import model
from pomeloward import queue
from pomeloward import settings
from pomeloward.entry import callerrequest
from pomeloward.entry import gatekeeper as gatekeepers
from pomeloward.entry import grant as grants
from pomeloward.entry import openwork
from pomeloward.entry import recorder as recorders
from pomeloward.entry import steps
from pomeloward.entry import websocketcall
from pomeloward.entry import websockettargets

# Close codes of RFC 6455, section 7.4.
_GOING_AWAY = 1001
_POLICY = 1008
_INTERNAL = 1011


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
        targets: websockettargets.WebsocketTargets,
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
        call: websocketcall.WebsocketCall,
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
            await call.refuse(refusal, may_have_run=True)

    async def _run(
        self,
        request: callerrequest.CallerRequest,
        grant: grants.Grant,
        call: websocketcall.WebsocketCall,
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
        connection = await self._targets.connect(
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

    async def _refuse(
        self, call: websocketcall.WebsocketCall, refusal: model.Refusal
    ) -> None:
        self._recorder.refused(refusal, call.request)
        await call.refuse(refusal)


async def _pump(
    call: websocketcall.WebsocketCall, connection: client.ClientConnection
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
