"""Tests of bodies that go through other hosts."""

import json

import anyio
import pytest

from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import observability
from pomeloward import platform
from pomeloward import relay
from pomeloward.relay import requestlogentry
from tests.balance import factories
from tests.platform import serving

pytestmark = pytest.mark.anyio

_REPLAY_BYTES = 256 * 1024
_CHUNK_BYTES = 16_384


class Peer:
    """Reads each request whole, and refuses or answers it."""

    def __init__(self, refuses):
        self.refuses = refuses
        self.bodies = []
        self.port = serving.steady_port()

    def endpoint(self):
        return relay.PeerEndpoint(
            model.TargetId(f"peer-{self.port}"),
            f"http://127.0.0.1:{self.port}",
        )

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        body, more = b"", True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        self.bodies.append(body)
        refusal = json.dumps({"kind": "no_target_path"}).encode()
        request_id = dict(scope["headers"])[b"x-request-id"]
        await send(
            {
                "type": "http.response.start",
                "status": 503 if self.refuses else 200,
                "headers": [(b"x-request-id", request_id)],
            }
        )
        await send(
            {
                "type": "http.response.body",
                "body": refusal if self.refuses else b"served",
            }
        )


def _make_request(size_bytes, is_idempotent):
    chunks = [
        b"%06d" % number + bytes(_CHUNK_BYTES - 6)
        for number in range(size_bytes // _CHUNK_BYTES)
    ]
    unsent = list(chunks)

    async def receive():
        chunk = unsent.pop(0)
        return {
            "type": "http.request",
            "body": chunk,
            "more_body": bool(unsent),
        }

    now_ms = model.now_ms()
    route = factories.make_route(is_idempotent=is_idempotent)
    request = relay.AdmittedRequest(
        id=model.RequestId("q1"),
        route=route,
        service_id=route.splits[0].service,
        team=None,
        method="PUT",
        path_and_query=b"/x",
        headers=[(b"host", b"a"), (b"transfer-encoding", b"chunked")],
        body=entry.RequestBody(receive, 10**7, _REPLAY_BYTES),
        arrived_at_ms=now_ms,
        deadline_ms=now_ms + 4_000,
        max_attempts=3,
    )
    return request, b"".join(chunks)


async def _relay(peers, request):
    """Relay a request to peers in their order; return what comes back."""
    async with anyio.create_task_group() as tasks:
        for peer in peers:
            await tasks.start(serving.serve, peer, peer.port)
        links = dispatch.Links(
            5_000.0,
            "127.0.0.1",
            dispatch.StrayLog(b"x-request-id", observability.Metrics()),
        )
        peer_relay = relay.PeerRelay(
            links,
            platform.HTTP_CONVENTIONS.between_hosts(),
            lambda: [peer.endpoint() for peer in peers],
            lambda target_id, notice: None,
            relay.HeldBytes(lambda is_exhausted, byte_count: None),
        )
        result = await peer_relay.try_forward(
            request, requestlogentry.RequestLogEntry(request.id, 0.0)
        )
        await links.aclose()
        tasks.cancel_scope.cancel()
    return result


@pytest.mark.parametrize("is_idempotent", [False, True])
async def test_body_that_is_not_kept_goes_to_one_peer_only(is_idempotent):
    """The next peer ran a request whose body had gone to the first one."""
    refusing, serving_peer = Peer(refuses=True), Peer(refuses=False)
    request, body = _make_request(_REPLAY_BYTES + 131_072, is_idempotent)
    result = await _relay((refusing, serving_peer), request)
    assert refusing.bodies == [body]
    assert serving_peer.bodies == []
    # The caller may send it again: it has not run.
    assert result is None
    assert request.run_evidence.proof is not None


async def test_body_that_is_kept_goes_to_the_next_peer_whole():
    refusing, serving_peer = Peer(refuses=True), Peer(refuses=False)
    request, body = _make_request(_REPLAY_BYTES, False)
    result = await _relay((refusing, serving_peer), request)
    assert refusing.bodies == serving_peer.bodies == [body]
    assert result.ok.body_start == b"served"


async def test_body_that_a_target_took_is_not_relayed_without_it():
    """A target had taken the body before the host found its path broken."""
    peer = Peer(refuses=False)
    request, _ = _make_request(_REPLAY_BYTES + 131_072, False)
    async for _ in request.body.chunks():
        pass
    assert await _relay((peer,), request) is None
    assert peer.bodies == []


class _BrokenPeer:
    """Answers with a line that is none of an answer."""

    def __init__(self):
        self.port = serving.steady_port()

    def endpoint(self):
        return relay.PeerEndpoint(
            model.TargetId("broken"), f"http://127.0.0.1:{self.port}"
        )

    async def serve(self, *, task_status):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._answer)

    async def _answer(self, stream):
        async with stream:
            received = b""
            while not received.endswith(b"0\r\n\r\n"):
                received += await stream.receive()
            await stream.send(b"of a caller HTTP/1.1 500 X\r\n\r\n")


async def test_attempt_tells_why_the_answer_of_a_peer_was_none():
    """An attempt's end told the class of its error only."""
    peer = _BrokenPeer()
    request, _ = _make_request(_CHUNK_BYTES, False)
    log_entry = requestlogentry.RequestLogEntry(request.id, 0.0)
    async with anyio.create_task_group() as tasks:
        await tasks.start(peer.serve)
        links = dispatch.Links(
            5_000.0,
            "127.0.0.1",
            dispatch.StrayLog(b"x-request-id", observability.Metrics()),
        )
        peer_relay = relay.PeerRelay(
            links,
            platform.HTTP_CONVENTIONS.between_hosts(),
            lambda: [peer.endpoint()],
            lambda target_id, notice: None,
            relay.HeldBytes(lambda *_: None),
        )
        result = await peer_relay.try_forward(request, log_entry)
        await links.aclose()
        tasks.cancel_scope.cancel()
    (attempt,) = log_entry.attempts
    assert attempt.startswith("broken peer relayed ")
    assert (
        " RemoteProtocolError: illegal status line with HTTP/1.1 500 "
        "(connection " in attempt
    )
    assert "of a caller" not in attempt
    assert "HTTP/1.1" not in result.error.detail
