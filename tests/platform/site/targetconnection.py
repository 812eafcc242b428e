"""One connection of a target, on which an answer may come twice."""

import anyio
import h11

from tests.platform.site import answers


class Connection:
    """One connection of a target."""

    def __init__(self, target, stream, peer):
        self._target = target
        self._stream = stream
        self._peer = peer
        self._parser = h11.Connection(h11.SERVER)
        self._order = 0
        # A second answer that waits for the next answer.
        self._held = None
        self.is_health = False

    async def serve(self):
        while True:
            with anyio.fail_after(self._target.idle_limit_s):
                head = await self._read()
            if head is None:
                return
            headers = {k.decode(): v.decode() for k, v in head.headers}
            self.is_health = head.target == b"/health"
            request = headers.get("x-request-id", "")
            self._order += 1
            if not await self._target.answer(self, request, headers):
                return
            self._restart_parser()

    async def refuse(self, request, status):
        extra = ["X-Not-Executed: 1", "Retry-After: 0.2"]
        answer = answers.make(request, status, "", b"", extra)
        await self._send(answer, None)
        return True

    async def answer_health(self, request):
        extra = [f"X-Instance-Id: {self._target.id}"]
        await self._stream.send(
            answers.make(request, 200, "", b"", extra).data
        )
        return True

    async def send_drawn(self, request, status):
        """Answer, perhaps twice or not to the end."""
        is_last = self._target.draw_last()
        answer = self._target.draw_answer(request, status, is_last)
        cut_bytes = self._target.draw_cut_bytes(answer)
        if cut_bytes is not None:
            await self._send(answer, cut_bytes)
            return False
        second = None if is_last else self._target.draw_second(answer)
        if second is None:
            await self._send(answer, None)
        elif second.moment == "write":
            await self._send(answer, None, second)
        elif second.moment == "before":
            await self._send(answer, None)
            self._held = second
        else:
            await self._send(answer, None)
            await anyio.sleep(self._target.draw_second_delay_s())
            self._record_second(second)
            await self._stream.send(second.data)
        return not is_last

    async def _send(self, answer, cut_bytes, second=None):
        """Send what waits, an answer, and a second one in the same write."""
        data = b""
        if self._held is not None:
            self._record_second(self._held)
            data, self._held = self._held.data, None
        self._target.record(answer, self._peer, self._order, False, cut_bytes)
        data += answer.data[:cut_bytes]
        if second is not None:
            self._record_second(second)
            data += second.data
        await self._stream.send(data)

    def _record_second(self, second):
        self._target.record(
            second.answer, self._peer, self._order, True, second.cut_bytes
        )

    async def _read(self):
        """Return the head of the next request, once its body has come."""
        head = None
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._stream.receive())
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.EndOfMessage):
                return head
            elif not isinstance(event, h11.Data):
                return None

    def _restart_parser(self):
        """Take the answer, which went past the parser, as sent."""
        self._parser.send(
            h11.Response(status_code=200, headers=[("content-length", "0")])
        )
        self._parser.send(h11.EndOfMessage())
        self._parser.start_next_cycle()
