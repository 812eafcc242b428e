"""One authenticated websocket between two hosts."""

import anyio
import eliot
import websockets
from websockets.asyncio import connection as websockets_connection

from pomeloward import model
from pomeloward.peer import connectioncontext
from pomeloward.peer import connectionend
from pomeloward.peer import message
from pomeloward.peer import sendqueue
from pomeloward.peer import wireformat


class Connection:
    """Sends the messages of a queue and dispatches received messages."""

    def __init__(
        self,
        context: connectioncontext.ConnectionContext,
        websocket: websockets_connection.Connection,
        peer_host: model.HostId,
        send_queue: sendqueue.SendQueue,
    ) -> None:
        self._context = context
        self._websocket = websocket
        self._peer_host = peer_host
        self._send_queue = send_queue

    async def run(self) -> connectionend.ConnectionEnd:
        """Send and receive until the connection ends; return why it did."""
        end = connectionend.ConnectionEnd("ended")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_all)
            end = await self._receive_all()
            tasks.cancel_scope.cancel()
        return end

    async def _send_all(self) -> None:
        try:
            while True:
                await self._send_queue.wait_until_nonempty()
                delay_ms = self._send_queue.first_message_delay_ms(
                    anyio.current_time() * 1000
                )
                if delay_ms > 0:
                    await anyio.sleep(delay_ms / 1000)
                await self._send_frame()
        except websockets.ConnectionClosed:
            # _receive_all returns why the connection ended.
            return

    async def _send_frame(self) -> None:
        queued_messages = self._send_queue.pop_frame_messages(
            anyio.current_time() * 1000
        )
        if not queued_messages:
            return
        for queued in queued_messages:
            self._context.traffic_counters.count_sent(
                queued.message_tag, len(queued.encoded_envelope)
            )
        await self._websocket.send(
            wireformat.encode_frame(
                [queued.encoded_envelope for queued in queued_messages]
            )
        )

    async def _receive_all(self) -> connectionend.ConnectionEnd:
        try:
            while True:
                self._dispatch_frame(await self._websocket.recv())
        except model.PeerProtocolError as error:
            eliot.log_message(
                message_type="peer:protocol_error",
                peer=self._peer_host,
                reason=str(error),
            )
            await self._websocket.close(1002, "protocol error")
            return connectionend.ConnectionEnd(str(error))
        except websockets.ConnectionClosed as error:
            return connectionend.from_closed(error)

    def _dispatch_frame(self, frame: bytes | str) -> None:
        if not isinstance(frame, bytes):
            raise model.PeerProtocolError("a frame must be binary")
        # decode_frame validates the whole frame before any handler runs.
        for envelope in wireformat.decode_frame(frame):
            self._context.dispatcher.dispatch(
                self._peer_host, envelope, self._send_response
            )

    def _send_response(
        self,
        kind: wireformat.EnvelopeKind,
        correlation_id: int,
        response: message.Message | None,
    ) -> None:
        is_accepted = self._context.try_enqueue(
            self._send_queue, self._peer_host, kind, correlation_id, response
        )
        if not is_accepted and response is not None:
            no_response = wireformat.EnvelopeKind.NO_RESPONSE
            self._context.try_enqueue(
                self._send_queue,
                self._peer_host,
                no_response,
                correlation_id,
                None,
            )
