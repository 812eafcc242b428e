"""One target: slots, a queue, failures, second answers and stops."""

import contextlib
import random

import anyio
import h11

from tests.platform.site import answers
from tests.platform.site import seconds
from tests.platform.site import targetconnection

_SLOTS = 3
_QUEUED_REQUESTS = 12
_HEALTH_S = 0.025
_SECOND_DELAY_S = (0.001, 0.03)
# A target is gray for so long, or is not, and is then drawn again.
_GRAY_S = 5.0
_GRAY_FAILURE_RATIO = 0.5
_GONE = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
)
# How a target meets SIGTERM: it finishes what is open, drops it, or ends in
# the middle of each answer.
ENDINGS = ("finish", "drop", "middle")


class Target:
    """Serves one address under one id, and records what it answers."""

    def __init__(self, plan, behaviour, seed, recorder):
        self.id = plan["id"]
        self._port = plan["port"]
        self._behaviour = behaviour
        self._rng = random.Random(f"{seed} {self.id}")
        self._recorder = recorder
        self._slots = anyio.Semaphore(_SLOTS)
        self._open_requests = 0
        self._answers = 0
        self._is_gray = False
        self._gray_until_s = 0.0
        self._ending = ""
        self._stopping = anyio.Event()
        self._finished = anyio.Event()

    async def run(self):
        """Serve until stopped."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self._port, reuse_port=False
        )
        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as accepting:
                accepting.start_soon(listener.serve, self._connected, tasks)
                await self._stopping.wait()
                accepting.cancel_scope.cancel()
            await listener.aclose()
            with anyio.move_on_after(0 if self._ending == "drop" else 0.4):
                await self._finished.wait()
            tasks.cancel_scope.cancel()

    def stop(self):
        self._ending = self._rng.choice(ENDINGS)
        self._stopping.set()
        if not self._open_requests:
            self._finished.set()

    async def _connected(self, stream):
        peer = stream.extra(anyio.abc.SocketAttribute.remote_port)
        with contextlib.suppress(*_GONE, TimeoutError):
            async with stream:
                await targetconnection.Connection(self, stream, peer).serve()

    async def answer(self, connection, request, headers):
        """Run a request or refuse it; return whether to read another."""
        if headers.get("x-target-instance", self.id) != self.id:
            return await connection.refuse(request, 421)
        if self._stopping.is_set():
            return await connection.refuse(request, 503)
        if self._open_requests >= _SLOTS + _QUEUED_REQUESTS:
            return await connection.refuse(request, 503)
        self._open_requests += 1
        try:
            async with self._slots:
                if connection.is_health:
                    await anyio.sleep(_HEALTH_S)
                    return await connection.answer_health(request)
                return await self._run(connection, request)
        finally:
            self._open_requests -= 1
            if self._stopping.is_set() and not self._open_requests:
                self._finished.set()

    async def _run(self, connection, request):
        self._recorder.write("run", id=request, target=self.id)
        low_ms, high_ms = self._behaviour["latency_ms"]
        with anyio.move_on_after(self._rng.uniform(low_ms, high_ms) / 1000):
            await self._stopping.wait()
            if self._ending != "middle":
                await anyio.sleep_forever()
        is_failed = self._rng.random() < self._failure_ratio()
        return await connection.send_drawn(request, 500 if is_failed else 200)

    def _failure_ratio(self):
        if anyio.current_time() >= self._gray_until_s:
            self._gray_until_s = anyio.current_time() + _GRAY_S
            is_gray = self._rng.random() < self._behaviour["gray_ratio"]
            self._is_gray = is_gray
        if self._is_gray:
            return _GRAY_FAILURE_RATIO
        return self._behaviour["failure_ratio"]

    def draw_answer(self, request, status, is_last):
        """Return an answer that is drawn, apart from its status."""
        self._answers += 1
        size = min(int(self._rng.lognormvariate(7.0, 1.0)), 30_000)
        extra = []
        if is_last:
            extra.append("Connection: close")
        elif self._rng.random() < 0.3:
            limit_s = int(self._behaviour["idle_limit_s"])
            extra.append(f"Keep-Alive: timeout={limit_s}")
        return answers.make(
            request,
            status,
            f"{self.id}.{self._answers}",
            f"{self.id} ran {request} ".encode() + b"." * size,
            extra,
            is_chunked=self._rng.random() < 0.2,
        )

    def draw_second(self, first):
        if self._rng.random() < self._behaviour["second_ratio"]:
            return seconds.draw(self._rng, first)
        return None

    def draw_last(self):
        return self._rng.random() < 0.02

    def draw_cut_bytes(self, answer):
        """Return where a target that ends breaks an answer off, if it does."""
        if self._ending == "middle":
            return self._rng.randrange(1, len(answer.data))
        return None

    def draw_second_delay_s(self):
        return self._rng.uniform(*_SECOND_DELAY_S)

    def record(self, answer, peer, order, is_second, cut_bytes):
        self._recorder.write(
            "answer",
            **answer.record(),
            target=self.id,
            peer_port=peer,
            order=order,
            is_second=is_second,
            cut_bytes=cut_bytes,
        )

    @property
    def idle_limit_s(self):
        return self._behaviour["idle_limit_s"]
