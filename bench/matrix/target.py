"""A fake target: what it bears, what is wrong with it, what it saw."""

import random

import anyio

from bench.matrix import exchange
from bench.matrix import seen
from pomeloward import model
from standins import warmth

_WORK_S = 0.04
_SLOW_WORK_S = 0.5
_DOWNLOAD_S = 4.0
_CHUNKS = 8
_RAMP_MS = 1_000.0
_OVERLOAD_FACTOR = 10.0
# Waits beyond the slots that a target accepts before it sheds load.
_QUEUE_PER_SLOT = 4


class Target:
    """Runs requests of hosts at the interface of the HTTP transport."""

    def __init__(
        self,
        name: model.TargetId,
        slots: int,
        record: seen.Seen,
        rng: random.Random,
        is_cold: bool = False,
    ) -> None:
        self.name = name
        self.warmth = warmth.Warmth(slots, _RAMP_MS)
        if is_cold:
            self.warmth.bears = 1
        self.slow_factor = 1.0
        self.error_ratio = 0.0
        self.half_ratio = 0.0
        self.late_s = 0.0
        self.flap_s = 0.0
        self.fell_at_s: float | None = None
        self.unreachable_from: set[model.HostId] = set()
        self.running = 0
        self._seen = record
        self._rng = rng
        self._is_stepped = not is_cold
        self._started: set[str] = set()
        self._cancelled: set[str] = set()

    def is_active(self) -> bool:
        """Tell whether a flapping target is in its bad half period."""
        if not self.flap_s:
            return True
        return int(anyio.current_time() / self.flap_s) % 2 == 0

    def is_cut(self, host: model.HostId) -> bool:
        """Tell whether a host cannot connect now."""
        return host in self.unreachable_from and self.is_active()

    def fall_cold(self) -> None:
        """Fall from warm to cold without telling anyone."""
        self.fell_at_s = anyio.current_time()
        self.warmth.chill(self.fell_at_s * 1_000)

    def heal(self) -> None:
        """End all that is wrong with the target."""
        self.slow_factor = 1.0
        self.error_ratio = 0.0
        self.half_ratio = 0.0
        self.late_s = 0.0
        self.flap_s = 0.0
        self.unreachable_from.clear()

    def note_connect(self, sent: exchange.Sent) -> None:
        """Note a connect that failed; it was work for this target."""
        self._note(sent, is_connect_only=True)

    def cancel(self, request: str) -> str:
        """Cancel a request; return its run state."""
        self._cancelled.add(request)
        return "unknown" if request in self._started else "not_run"

    async def serve(self, sent: exchange.Sent) -> None:
        """Run one request and answer it."""
        if self.running >= self.warmth.slots * _QUEUE_PER_SLOT:
            shed = [
                (b"run-state", b"not_run"),
                (b"pomeloward-request-id", sent.request_id.encode()),
                (b"content-length", b"4"),
            ]
            sent.answer(503, shed)
            sent.end(b"shed")
            return
        if sent.request_id in self._cancelled or sent.gone.is_set():
            return
        start = self._note(sent, is_connect_only=False)
        self.running += 1
        start.running = self.running
        start.bears = self._bears()
        is_borne = self.warmth.serve(self.running, anyio.current_time() * 1e3)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_when_gone, sent, tasks.cancel_scope)
                await self._work(sent, is_borne)
                tasks.cancel_scope.cancel()
        finally:
            self.running -= 1
            start.ended_at_s = anyio.current_time()

    def _bears(self) -> int:
        """Return what the target bears at the start of a request."""
        now_ms = anyio.current_time() * 1_000
        if not self._is_stepped:
            # A cold target warms up from its first request on.
            self._is_stepped = True
            self.warmth.chill(now_ms)
        steps_due = self.warmth.is_step_due(now_ms)
        return self.warmth.bears * (2 if steps_due else 1)

    def _note(
        self, sent: exchange.Sent, *, is_connect_only: bool
    ) -> seen.Start:
        start = seen.Start(
            anyio.current_time(),
            self.name,
            sent.host,
            sent.marker,
            sent.request_id,
            sent.order,
            sent.headers,
            sent.path,
            sent.method,
            self.running,
            self.warmth.bears,
            is_connect_only,
        )
        self._seen.starts.append(start)
        if not is_connect_only:
            self._started.add(sent.request_id)
        return start

    async def _work(self, sent: exchange.Sent, is_borne: bool) -> None:
        is_bad = self.is_active()
        work_s = _SLOW_WORK_S if b"slow=1" in sent.path else _WORK_S
        work_s *= self._rng.uniform(0.8, 1.2)
        if is_bad:
            work_s *= self.slow_factor
        if not is_borne:
            work_s *= _OVERLOAD_FACTOR
        await anyio.sleep(work_s)
        if is_bad and self._rng.random() < self.error_ratio:
            sent.answer(500, [(b"content-length", b"5")])
            sent.end(b"error")
            return
        if is_bad and self.late_s:
            await anyio.sleep(self.late_s)
        await self._answer(
            sent, is_bad and self._rng.random() < self.half_ratio
        )

    async def _answer(self, sent: exchange.Sent, is_half: bool) -> None:
        body = expected_body(sent.marker)
        length = b"%d" % len(body)
        sent.answer(200, [(b"content-length", length)])
        if is_half:
            sent.chunk(body[: len(body) // 2])
            sent.break_off()
            return
        if b"download=1" not in sent.path:
            sent.end(body)
            return
        width = len(body) // _CHUNKS + 1
        for begin in range(0, len(body), width):
            sent.chunk(body[begin : begin + width])
            await anyio.sleep(_DOWNLOAD_S / _CHUNKS)
        sent.end(b"")


def expected_body(marker: str) -> bytes:
    """Return the whole answer to the request with a marker."""
    return f"answer to {marker};".encode() * 8


async def _cancel_when_gone(
    sent: exchange.Sent, scope: anyio.CancelScope
) -> None:
    await sent.gone.wait()
    scope.cancel()
