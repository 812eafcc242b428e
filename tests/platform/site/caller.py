"""One caller: it keeps connections, opens new ones or sends ahead."""

import time

import anyio
import h11

from tests.platform.site import connection as connections
from tests.platform.site import records

HABITS = ("kept", "new", "pipelined")
_ANSWER_S = 4.0
_IDLE_LIMIT_S = 10.0
_FAILURES = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
)


class Caller:
    """Sends requests at drawn times and records what comes."""

    def __init__(self, rng, requests, directory, recorder, zone, habit):
        self._rng = rng
        self._requests = requests
        self._directory = directory
        self._recorder = recorder
        self._zone = zone
        self._habit = habit
        self._kept = None

    async def run(self, rate_per_s, end_s):
        """Call until the loop's time ``end_s``, then end what is open."""
        due_s = anyio.current_time()
        while True:
            due_s += self._rng.expovariate(rate_per_s)
            if due_s >= end_s:
                break
            await anyio.sleep_until(due_s)
            count = 1
            if self._habit == "pipelined":
                count = self._rng.randint(2, 4)
                due_s += (count - 1) / rate_per_s
            await self._call([self._requests.draw() for _ in range(count)])
            due_s = max(due_s, anyio.current_time() - 1 / rate_per_s)
        await self._drop()

    async def _call(self, requests):
        began_s, waiting = time.time(), list(requests)
        host = ""
        try:
            if self._kept is None or not self._can_reuse():
                await self._open()
            host = self._kept.host
            with anyio.fail_after(_ANSWER_S):
                await self._kept.send(requests)
                for one in requests:
                    response = await self._kept.read(one)
                    waiting.remove(one)
                    self._record(one, host, began_s, response)
                    if not self._kept.is_usable:
                        break
        except _FAILURES as error:
            await self._drop()
            self._record_failures(waiting, host, began_s, error)
            return
        self._record_failures(waiting, host, began_s, None)
        if self._habit == "new":
            await self._drop()

    def _can_reuse(self):
        idle_s = anyio.current_time() - self._kept.used_at_s
        return (
            self._kept.is_usable
            and idle_s < _IDLE_LIMIT_S
            and self._kept.host in self._directory.addresses[self._zone]
        )

    async def _open(self):
        await self._drop()
        host = self._rng.choice(self._directory.addresses[self._zone])
        self._kept = await connections.Connection.open(host)

    async def _drop(self):
        if self._kept is not None:
            kept, self._kept = self._kept, None
            with anyio.move_on_after(0.1):
                await kept.close()

    def _record(self, request, host, began_s, response):
        headers = response.headers
        self._recorder.write(
            "request",
            id=request.id,
            is_order=request.is_order,
            host=host,
            began_s=began_s,
            status=response.status,
            answer_id=headers.get("x-request-id", ""),
            signature=headers.get("x-upstream-signature", ""),
            hash=records.digest(response.body),
            error=_reason(response),
        )

    def _record_failures(self, requests, host, began_s, error):
        for request in requests:
            self._recorder.write(
                "request",
                id=request.id,
                is_order=request.is_order,
                host=host,
                began_s=began_s,
                status=0,
                answer_id="",
                signature="",
                hash="",
                error=f"{type(error).__name__}: {error}"
                if error
                else "closed",
            )


def _reason(response):
    """Return what a host says of a failure of its own."""
    if response.status < 400 or "x-upstream-signature" in response.headers:
        return ""
    return response.body[:200].decode(errors="replace")
