"""Tests of which peers get a request that a host relays."""

import anyio
import httpx
import msgspec
import pytest

from pomeloward import model
from pomeloward import relay
from pomeloward.platform import httpconventions
from pomeloward.relay import requestlogentry
from tests.balance import factories
from tests.relay import samplerequests

pytestmark = pytest.mark.anyio

_PEERS = [
    relay.PeerEndpoint(model.TargetId(name), f"http://{name}")
    for name in ("p1", "p2")
]


class _Peers:
    """Connections to peers that all refuse, or fail without a response.

    ``kind`` is that of their refusals, None if they fail.
    """

    base = httpx.URL("http://p")

    def __init__(self, kind):
        self.kind = kind
        self.attempts_left = []
        self.transport = self

    def find(self, peer):
        return self

    def enter(self, now_ms):
        pass

    def leave(self, now_ms):
        pass

    async def handle_async_request(self, request):
        headers = dict(request.headers.raw)
        self.attempts_left.append(int(headers[b"x-attempts-left"]))
        await request.extensions["trace"](
            "http11.send_request_headers.started", {}
        )
        if self.kind is None:
            raise httpx.ReadError("closed")
        body = msgspec.json.encode({"kind": self.kind.value})
        return httpx.Response(
            503,
            headers={
                "X-Request-Id": headers[b"x-request-id"].decode(),
                "Content-Length": str(len(body)),
            },
            stream=httpx.ByteStream(body),
        )


async def _relay(peers, is_repeatable=False):
    """Relay a request to peers; return its result and how long it took."""
    peer_relay = relay.PeerRelay(
        peers,
        httpconventions.HTTP_CONVENTIONS.between_hosts(),
        lambda: _PEERS,
        lambda *_: None,
        relay.HeldBytes(lambda *_: None),
    )
    request = samplerequests.make_request(
        factories.make_route(is_idempotent=is_repeatable)
    )
    started_s = anyio.current_time()
    result = await peer_relay.try_forward(
        request, requestlogentry.RequestLogEntry(request.id, 0.0)
    )
    return result, anyio.current_time() - started_s


async def test_order_without_a_response_is_relayed_to_no_other_peer():
    peers = _Peers(None)
    result, _ = await _relay(peers)
    assert result.error.run_state is model.RunState.UNKNOWN
    assert len(peers.attempts_left) == 1


async def test_lookup_without_a_response_uses_up_its_attempts():
    peers = _Peers(None)
    result, _ = await _relay(peers, is_repeatable=True)
    assert result.error.run_state is model.RunState.UNKNOWN
    assert peers.attempts_left == [2, 1]


async def test_peers_that_look_for_their_path_are_asked_once_more():
    """Requests were refused while the peers' checks were under way."""
    peers = _Peers(model.ErrorKind.NO_TARGET_PATH)
    result, _ = await _relay(peers)
    assert result is None
    assert peers.attempts_left == [2] * 2 * len(_PEERS)


async def test_request_is_refused_at_once_if_no_peer_has_capacity():
    peers = _Peers(model.ErrorKind.NO_CAPACITY)
    result, took_s = await _relay(peers)
    assert result is None
    assert len(peers.attempts_left) == len(_PEERS)
    assert took_s < 0.05
