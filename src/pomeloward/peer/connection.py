"""One authenticated websocket between two hosts."""

import anyio
import eliot
import websockets
from websockets.asyncio import connection as websockets_connection

from pomeloward import model
from pomeloward.peer import message
from pomeloward.peer import node
from pomeloward.peer import outbox
from pomeloward.peer import wireformat


class Connection:
    """Sends what an outbox holds and delivers what arrives."""

    def __init__(
        self,
        owner: node.Node,
        socket: websockets_connection.Connection,
        host: model.HostId,
        queue: outbox.Outbox,
    ) -> None:
        self._node = owner
        self._socket = socket
        self._host = host
        self._queue = queue

    async def run(self) -> str:
        """Run until the connection ends; returns the reason."""
        reason = "ended"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_all)
            reason = await self._receive_all()
            tasks.cancel_scope.cancel()
        return reason

    async def _send_all(self) -> None:
        try:
            while True:
                await self._queue.wait()
                wait_ms = self._queue.wait_ms(anyio.current_time() * 1000)
                if wait_ms > 0:
                    await anyio.sleep(wait_ms / 1000)
                await self._send_frame()
        except websockets.ConnectionClosed:
            # The receiving side of this connection reports the end.
            return

    async def _send_frame(self) -> None:
        items = self._queue.take_frame(anyio.current_time() * 1000)
        if not items:
            return
        for item in items:
            self._node.traffic.sent(item.tag, len(item.encoded))
        await self._socket.send(
            wireformat.encode_frame([item.encoded for item in items])
        )

    async def _receive_all(self) -> str:
        try:
            while True:
                self._deliver(await self._socket.recv())
        except model.PeerProtocolError as error:
            eliot.log_message(
                message_type="peer:protocol_error",
                peer=self._host,
                reason=str(error),
            )
            await self._socket.close(1002, "protocol error")
            return str(error)
        except websockets.ConnectionClosed as error:
            return str(error)

    def _deliver(self, frame: bytes | str) -> None:
        if not isinstance(frame, bytes):
            raise model.PeerProtocolError("a frame must be binary")
        # The whole frame is checked before any of it takes effect.
        for envelope in wireformat.decode_frame(frame):
            self._node.dispatcher.deliver(self._host, envelope, self._reply)

    def _reply(
        self,
        kind: wireformat.EnvelopeKind,
        ask_id: int,
        answer: message.Message | None,
    ) -> None:
        accepted = self._node.enqueue(
            self._queue, self._host, kind, ask_id, answer
        )
        if not accepted and answer is not None:
            no_answer = wireformat.EnvelopeKind.NO_RESPONSE
            self._node.enqueue(
                self._queue, self._host, no_answer, ask_id, None
            )
