"""Tests of peers over real websockets on the loopback interface."""

import contextlib

import anyio
import cbor2
import pytest
from websockets.asyncio import client

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import handshake
from pomeloward.peer import sendqueue

_FLEET_SECRET = b"fleet secret"
_HOST_A = model.HostId("a")
_HOST_B = model.HostId("b")


class SampleRequest(peer.Message, frozen=True, tag="sample-request"):
    number: int
    claimed_sender: str = ""


class SampleResponse(peer.Message, frozen=True, tag="sample-response"):
    number: int
    authenticated_sender: str


class FakeNetwork:
    """Resolves hosts to loopback ports, and injects delays and losses.

    A message from one host to another is dropped if its delay is None.
    """

    def __init__(self) -> None:
        self.ports: dict[model.HostId, int] = {}
        self.delays_ms: dict[
            tuple[model.HostId, model.HostId], float | None
        ] = {}

    def peer_address(self, host):
        port = self.ports.get(host)
        return None if port is None else ("127.0.0.1", port)

    def message_delay_ms(self, source, destination):
        return self.delays_ms.get((source, destination), 0.0)


def _make_peers(
    host, network, fleet_secret=_FLEET_SECRET
) -> peer.WebsocketPeers:
    identity = peer.Identity(host, model.Incarnation(1))
    peers = peer.WebsocketPeers(identity, fleet_secret, network, network)

    def respond(sender, request, now_ms):
        if request.number < 0:
            raise RuntimeError("exception in a handler")
        return SampleResponse(
            number=request.number, authenticated_sender=sender
        )

    peers.register_handler(SampleRequest, respond)
    return peers


@contextlib.asynccontextmanager
async def _run_two_hosts(secret_b=_FLEET_SECRET):
    """Yield the running peers of hosts a and b, and their network."""
    network = FakeNetwork()
    peers_a, peers_b = (
        _make_peers(_HOST_A, network),
        _make_peers(_HOST_B, network, secret_b),
    )
    async with anyio.create_task_group() as tasks:
        network.ports[_HOST_A] = await tasks.start(peers_a.run, "127.0.0.1", 0)
        network.ports[_HOST_B] = await tasks.start(peers_b.run, "127.0.0.1", 0)
        with anyio.fail_after(10):
            yield peers_a, peers_b, network
        tasks.cancel_scope.cancel()


def test_handler_gets_the_authenticated_sender():
    """Guards against trust in a sender that the message itself names."""

    async def scenario() -> None:
        async with _run_two_hosts() as (peers_a, _, _):
            request = SampleRequest(number=4, claimed_sender="c")
            response = await peers_a.request(_HOST_B, request, 2_000.0)
            assert response == SampleResponse(
                number=4, authenticated_sender="a"
            )

    anyio.run(scenario)


def test_request_to_the_own_host_needs_no_connection():
    """Guards against an owner that cannot vote for itself."""

    async def scenario() -> None:
        async with _run_two_hosts() as (peers_a, _, _):
            response = await peers_a.request(
                _HOST_A, SampleRequest(number=1), 2_000.0
            )
            assert response == SampleResponse(
                number=1, authenticated_sender="a"
            )
            assert not peers_a.traffic_counters.by_message_tag

    anyio.run(scenario)


def test_concurrent_requests_share_few_frames():
    """Guards against the cost of one frame for each message."""

    async def scenario() -> None:
        async with _run_two_hosts() as (peers_a, peers_b, _):
            await peers_a.request(_HOST_B, SampleRequest(number=0), 2_000.0)
            frame_count = 0
            send_queue = peers_a._dialers[_HOST_B].send_queue
            pop_frame_messages = send_queue.pop_frame_messages

            def count_frame(now_ms):
                nonlocal frame_count
                frame_count += 1
                return pop_frame_messages(now_ms)

            send_queue.pop_frame_messages = count_frame
            response_numbers = []

            async def request_number(number: int) -> None:
                response = await peers_a.request(
                    _HOST_B, SampleRequest(number=number), 2_000.0
                )
                response_numbers.append(response.number)

            async with anyio.create_task_group() as tasks:
                for number in range(100):
                    tasks.start_soon(request_number, number)
            assert sorted(response_numbers) == list(range(100))
            assert frame_count <= 3
            assert (
                peers_b.traffic_counters.counters_for(
                    "sample-request"
                ).messages_received
                == 101
            )
            bytes_sent = peers_a.traffic_counters.counters_for(
                "sample-request"
            ).bytes_sent
            assert (
                peers_b.traffic_counters.counters_for(
                    "sample-request"
                ).bytes_received
                == bytes_sent
            )

    anyio.run(scenario)


def test_exception_in_a_handler_fails_only_its_request():
    """Guards against a connection that ends when one handler raises.

    The connection also carries the messages of all other modules.
    """

    async def scenario() -> None:
        async with _run_two_hosts() as (peers_a, _, _):
            with pytest.raises(model.PeerUnavailable):
                await peers_a.request(
                    _HOST_B, SampleRequest(number=-1), 2_000.0
                )
            assert (
                await peers_a.request(
                    _HOST_B, SampleRequest(number=1), 2_000.0
                )
            ).number == 1

    anyio.run(scenario)


def test_request_to_a_host_with_a_wrong_secret_fails():
    """Guards against an unauthenticated host in the fleet."""

    async def scenario() -> None:
        async with _run_two_hosts(secret_b=b"other") as (peers_a, _, _):
            with pytest.raises(model.PeerUnavailable):
                await peers_a.request(_HOST_B, SampleRequest(number=1), 500.0)

    anyio.run(scenario)


@pytest.mark.parametrize(
    "frame",
    [
        "text",
        b"\xff\x00",
        cbor2.dumps([cbor2.dumps([0, ["sample-request", "x"]])]),
        bytes(2_000_000),
        cbor2.dumps([cbor2.dumps([0, ["sample-request", 1]])])[:-1],
    ],
    ids=["text", "invalid", "wrong type", "huge", "truncated"],
)
def test_malformed_frame_closes_only_its_connection(frame):
    """Guards against a faulty peer that disturbs other connections."""

    async def scenario() -> None:
        async with _run_two_hosts() as (peers_a, _, network):
            await peers_a.request(_HOST_B, SampleRequest(number=1), 2_000.0)
            uri = f"ws://127.0.0.1:{network.ports[_HOST_B]}/"
            async with client.connect(uri, compression=None) as websocket:
                await handshake.authenticate_as_client(
                    websocket.send,
                    websocket.recv,
                    _FLEET_SECRET,
                    peer.Identity(model.HostId("c"), model.Incarnation(1)),
                    _HOST_B,
                )
                await websocket.send(frame)
                await websocket.wait_closed()
                assert websocket.close_code in (1002, 1009)
            dialer = peers_a._dialers[_HOST_B]
            assert (
                await peers_a.request(
                    _HOST_B, SampleRequest(number=2), 2_000.0
                )
            ).number == 2
            assert peers_a._dialers[_HOST_B] is dialer

    anyio.run(scenario)


def test_loss_in_one_direction_fails_requests_until_it_ends():
    """Guards against a loss that goes unnoticed or has a lasting effect."""

    async def scenario() -> None:
        async with _run_two_hosts() as (peers_a, peers_b, network):
            await peers_a.request(_HOST_B, SampleRequest(number=1), 2_000.0)
            network.delays_ms[(_HOST_B, _HOST_A)] = None
            with pytest.raises(model.PeerUnavailable):
                await peers_a.request(_HOST_B, SampleRequest(number=2), 100.0)
            assert (
                peers_b.traffic_counters.counters_for(
                    "sample-request"
                ).messages_received
                == 2
            )
            network.delays_ms[(_HOST_B, _HOST_A)] = 20.0
            started_s = anyio.current_time()
            assert (
                await peers_a.request(
                    _HOST_B, SampleRequest(number=3), 2_000.0
                )
            ).number == 3
            assert anyio.current_time() - started_s >= 0.02

    anyio.run(scenario)


def test_restarted_peer_is_reached_again():
    """Guards against a host that never reconnects."""

    async def scenario() -> None:
        network = FakeNetwork()
        peers_a = _make_peers(_HOST_A, network)
        async with anyio.create_task_group() as tasks:
            network.ports[_HOST_A] = await tasks.start(
                peers_a.run, "127.0.0.1", 0
            )
            for number in range(2):
                peers_b = _make_peers(_HOST_B, network)
                async with anyio.create_task_group() as b_tasks:
                    port = network.ports.get(_HOST_B, 0)
                    port = await b_tasks.start(peers_b.run, "127.0.0.1", port)
                    network.ports[_HOST_B] = port
                    assert (
                        await _request_until_answered(peers_a, number)
                        == number
                    )
                    b_tasks.cancel_scope.cancel()
            with pytest.raises(model.PeerUnavailable):
                await peers_a.request(_HOST_B, SampleRequest(number=9), 200.0)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


async def _request_until_answered(peers, number: int) -> int:
    """Repeat a request to host b; return the number in the response."""
    with anyio.fail_after(10):
        while True:
            try:
                response = await peers.request(
                    _HOST_B, SampleRequest(number=number), 500.0
                )
            except model.PeerUnavailable:
                await anyio.sleep(0.02)
                continue
            return response.number


def test_full_send_queue_rejects_a_request_at_once():
    """Guards against unlimited memory use for an unreachable peer."""

    async def scenario() -> None:
        async with _run_two_hosts() as (peers_a, _, network):
            network.ports.pop(_HOST_B)
            for number in range(sendqueue.MAX_MESSAGES):
                peers_a.notify(_HOST_B, SampleRequest(number=number))
            with pytest.raises(model.PeerUnavailable, match="full"):
                await peers_a.request(
                    _HOST_B, SampleRequest(number=0), 60_000.0
                )

    anyio.run(scenario)
