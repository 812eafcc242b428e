"""Stand-in for targets: slots, cold start, drain, shedding and faults.

Published contract: a request that was not started is answered 503 with
``Run-State: not_run``; ``Pomeloward-Deadline-Ms`` bounds the wait; closing
the connection cancels; ``DELETE /.requests/<id>`` cancels and answers
whether the request had started. ``/health`` and ``/load`` may mislead.
"""

import asyncio
import hashlib
import json
import random
import time

from standins import asgi
from standins import faults
from standins import warmth

_QUEUE_LIMIT_PER_SLOT = 2
_KEY_HEADERS = (b"authorization", b"x-api-key", b"cookie")


def _not_run(request: str) -> list[tuple[str, str]]:
    """Return the headers of the refusal of a request that did not run."""
    return [("Run-State", "not_run"), ("Pomeloward-Request-Id", request)]


class Target:
    """One target with a limited number of slots."""

    def __init__(
        self, name: str, slots: int, work_ms: float, seed: int
    ) -> None:
        self.name = name
        self.work_ms = work_ms
        self.faults = faults.Faults()
        self.warmth = warmth.Warmth(slots, step_ms=1_000.0)
        self.is_draining = False
        self.starts: list[tuple[float, str]] = []
        self.order_runs: dict[str, int] = {}
        self.key_leak_count = 0
        self.cancel_count = 0
        self.running = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(slots)
        self._cancelled: set[str] = set()
        self._started: set[str] = set()
        self._random = random.Random(f"{seed}/{name}")

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request or websocket."""
        if scope["type"] == "lifespan":
            await asgi.run_lifespan(receive, send)
            return
        if self._is_cut(scope):
            await asyncio.sleep(3_600)
        if scope["type"] == "websocket":
            await self._echo(receive, send)
        elif scope["path"] in ("/health", "/load"):
            await self._report(scope["path"], send)
        elif scope["path"].startswith("/.requests/"):
            await self._cancel(scope["path"].rpartition("/")[2], send)
        else:
            await self._work(scope, receive, send)

    def _is_cut(self, scope: asgi.Scope) -> bool:
        if not self.faults.is_active(_now_ms()):
            return False
        client = scope["client"][0] if scope.get("client") else ""
        return self.faults.is_down or client in self.faults.unreachable_from

    async def _echo(self, receive: asgi.Receive, send: asgi.Send) -> None:
        while True:
            event = await receive()
            if event["type"] == "websocket.connect":
                await send({"type": "websocket.accept"})
            elif event["type"] == "websocket.disconnect":
                return
            else:
                text = event.get("text") or event["bytes"].decode()
                reply = f"{self.name}: {text}"
                await send({"type": "websocket.send", "text": reply})

    async def _report(self, path: str, send: asgi.Send) -> None:
        is_well = self.faults.is_health_misleading or not self.is_draining
        load = 0.0 if self.faults.is_health_misleading else self.running
        body = {"load": load} if path == "/load" else {"ok": is_well}
        await asgi.answer_json(send, body, 200 if is_well else 503)

    async def _cancel(self, request: str, send: asgi.Send) -> None:
        self._cancelled.add(request)
        run = "unknown" if request in self._started else "not_run"
        await asgi.answer_json(send, {"run": run})

    async def _work(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        body = await asgi.read_body(receive)
        self._note_keys(scope)
        request = asgi.header(scope, "Pomeloward-Request-Id") or ""
        limit = self.warmth.slots * _QUEUE_LIMIT_PER_SLOT
        if self.is_draining or self.waiting >= limit:
            await asgi.answer(send, 503, b"shed", _not_run(request))
            return
        if not await self._wait_for_slot(scope):
            await asgi.answer(send, 503, b"deadline", _not_run(request))
            return
        try:
            if request in self._cancelled:
                await asgi.answer(send, 503, b"cancelled", _not_run(request))
                return
            await self._run(scope, request, body, receive, send)
        finally:
            self.running -= 1
            self._slots.release()

    async def _wait_for_slot(self, scope: asgi.Scope) -> bool:
        text = asgi.header(scope, "Pomeloward-Deadline-Ms") or "60000"
        self.waiting += 1
        try:
            await asyncio.wait_for(self._slots.acquire(), float(text) / 1000)
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    async def _run(
        self,
        scope: asgi.Scope,
        request: str,
        body: bytes,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        self._note_start(scope, request)
        is_borne = self.warmth.serve(self.running, _now_ms())
        work = asyncio.ensure_future(asyncio.sleep(self._work_s(is_borne)))
        gone = asyncio.ensure_future(receive())
        await asyncio.wait((work, gone), return_when="FIRST_COMPLETED")
        gone.cancel()
        if not work.done():
            work.cancel()
            self.cancel_count += 1
            return
        await self._finish(scope, request, body, send)

    def _note_start(self, scope: asgi.Scope, request: str) -> None:
        self._started.add(request)
        self.starts.append((time.time(), request))
        order = asgi.header(scope, "Idempotency-Key")
        if order and scope["method"] == "POST":
            self.order_runs[order] = self.order_runs.get(order, 0) + 1

    def _work_s(self, is_borne: bool) -> float:
        factor = 1.0
        if self.faults.is_active(_now_ms()):
            factor = self.faults.slow_factor
        if not is_borne:
            factor *= 10
        jitter = self._random.uniform(0.8, 1.2)
        return self.work_ms * factor * jitter / 1000

    async def _finish(
        self, scope: asgi.Scope, request: str, body: bytes, send: asgi.Send
    ) -> None:
        is_active = self.faults.is_active(_now_ms())
        if is_active and self._random.random() < self.faults.error_ratio:
            await asgi.answer(send, 500, b"target error")
            return
        size = int(asgi.query(scope).get("bytes", "0"))
        answer = json.dumps(
            {
                "request_id": request,
                "target": self.name,
                "path": scope["path"],
                "body_sha256": hashlib.sha256(body).hexdigest(),
            }
        ).encode()
        half = is_active and (
            self._random.random() < self.faults.half_answer_ratio
        )
        await self._stream(answer, size, half, send)

    async def _stream(
        self, answer: bytes, size: int, is_half: bool, send: asgi.Send
    ) -> None:
        total = len(answer) + size
        headers = [(b"content-length", str(total).encode())]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        if is_half:
            raise ConnectionAbortedError("half an answer")
        left = size
        await send(
            {"type": "http.response.body", "body": answer, "more_body": True}
        )
        while left > 0:
            chunk = min(left, 16_384)
            left -= chunk
            await asyncio.sleep(0.01)
            await send(
                {
                    "type": "http.response.body",
                    "body": b"x" * chunk,
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})

    def _note_keys(self, scope: asgi.Scope) -> None:
        for name, value in scope["headers"]:
            if name in _KEY_HEADERS and b"key-" in value:
                self.key_leak_count += 1
        if b"key-" in scope["query_string"]:
            self.key_leak_count += 1


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
