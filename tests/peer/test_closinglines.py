"""Tests of what the lines on ended peer connections tell."""

import contextlib

import anyio
import eliot
import pytest
from websockets.asyncio import client
from websockets.asyncio import server

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import handshake

pytestmark = pytest.mark.anyio

_FLEET_SECRET = b"fleet secret"
_HOST_A = model.HostId("a")
_HOST_B = model.HostId("b")
_ADDRESS = "127.0.0.1"


class _Question(peer.Message, frozen=True, tag="closing-question"):
    pass


class _Addresses:
    """Resolves hosts to loopback ports."""

    def __init__(self):
        self.ports = {}

    def peer_address(self, host):
        port = self.ports.get(host)
        return None if port is None else (_ADDRESS, port)


def _make_peers(host, addresses):
    identity = peer.Identity(host, model.Incarnation(1))
    peers = peer.WebsocketPeers(identity, _FLEET_SECRET, addresses)
    peers.register_handler(_Question, lambda *_: _Question())
    return peers


@contextlib.contextmanager
def _captured_lines():
    """Yield a list that receives the lines on ended connections."""
    lines = []

    def keep(line):
        if line.get("message_type") in ("peer:closed", "peer:disconnected"):
            lines.append(line)

    eliot.add_destinations(keep)
    try:
        yield lines
    finally:
        eliot.remove_destination(keep)


async def _wait_for_line(lines, message_type, peer_host):
    """Return the first line of a type about a host."""
    with anyio.fail_after(5):
        while True:
            for line in lines:
                if (line["message_type"], line["peer"]) == (
                    message_type,
                    peer_host,
                ):
                    return line
            await anyio.sleep(0.005)


async def _play_end(asking_host, is_planned):
    """End host b while it is connected to a; return the line of a.

    ``asking_host`` is the one that dials.
    """
    addresses = _Addresses()
    peers = {host: _make_peers(host, addresses) for host in (_HOST_A, _HOST_B)}
    with _captured_lines() as lines:
        async with anyio.create_task_group() as a_tasks:
            addresses.ports[_HOST_A] = await a_tasks.start(
                peers[_HOST_A].run, _ADDRESS, 0
            )
            async with anyio.create_task_group() as b_tasks:
                addresses.ports[_HOST_B] = await b_tasks.start(
                    peers[_HOST_B].run, _ADDRESS, 0
                )
                asked_host = {_HOST_A: _HOST_B, _HOST_B: _HOST_A}[asking_host]
                await peers[asking_host].request(
                    asked_host, _Question(), 2_000.0
                )
                if is_planned:
                    peers[_HOST_B].announce_stop()
                b_tasks.cancel_scope.cancel()
            message_type = (
                "peer:disconnected"
                if asking_host == _HOST_A
                else "peer:closed"
            )
            line = await _wait_for_line(lines, message_type, _HOST_B)
            a_tasks.cancel_scope.cancel()
    return line


@pytest.mark.parametrize("asking_host", [_HOST_A, _HOST_B])
async def test_planned_stop_of_a_peer_is_not_logged_as_a_failure(asking_host):
    """Stops and failures of hosts read the same in an incident."""
    line = await _play_end(asking_host, is_planned=True)
    assert line["is_stop"] is True
    assert line["reason"].startswith(
        "received 1001 (going away) host is stopping"
    )


async def test_stop_of_a_peer_during_the_handshake_is_no_failure():
    addresses = _Addresses()
    peers_a = _make_peers(_HOST_A, addresses)

    async def serve(websocket):
        await websocket.recv()
        await websocket.close(1001, "host is stopping")

    with _captured_lines() as lines:
        async with (
            server.serve(serve, _ADDRESS, 0, compression=None) as listener,
            anyio.create_task_group() as tasks,
        ):
            await tasks.start(peers_a.run, _ADDRESS, 0)
            addresses.ports[_HOST_B] = next(
                iter(listener.sockets)
            ).getsockname()[1]
            peers_a.notify(_HOST_B, _Question())
            line = await _wait_for_line(lines, "peer:disconnected", _HOST_B)
            tasks.cancel_scope.cancel()
    assert line["is_stop"] is True
    assert line["reason"].startswith("ConnectionClosedOK: received 1001")


@pytest.mark.parametrize(
    ("asking_host", "reason"),
    [
        (_HOST_A, "received 1001 (going away);"),
        (_HOST_B, "received 1011 (internal error);"),
    ],
)
async def test_end_by_an_error_is_not_logged_as_a_stop(asking_host, reason):
    line = await _play_end(asking_host, is_planned=False)
    assert line["is_stop"] is False
    assert line["reason"].startswith(reason)


async def test_stopping_host_logs_its_accepted_connections_as_stopped():
    addresses = _Addresses()
    peers_a, peers_b = (
        _make_peers(_HOST_A, addresses),
        _make_peers(_HOST_B, addresses),
    )
    with _captured_lines() as lines:
        async with anyio.create_task_group() as a_tasks:
            await a_tasks.start(peers_a.run, _ADDRESS, 0)
            async with anyio.create_task_group() as b_tasks:
                addresses.ports[_HOST_B] = await b_tasks.start(
                    peers_b.run, _ADDRESS, 0
                )
                await peers_a.request(_HOST_B, _Question(), 2_000.0)
                peers_b.announce_stop()
                b_tasks.cancel_scope.cancel()
            line = await _wait_for_line(lines, "peer:closed", _HOST_A)
            a_tasks.cancel_scope.cancel()
    assert line["is_stop"] is True


async def test_connection_to_a_silent_peer_is_not_logged_as_a_stop():
    """Reconnects of a stopping host would hide peers that fail."""
    addresses = _Addresses()
    peers_a, peers_b = (
        _make_peers(_HOST_A, addresses),
        _make_peers(_HOST_B, addresses),
    )
    with _captured_lines() as lines:
        async with anyio.create_task_group() as tasks:
            await tasks.start(peers_a.run, _ADDRESS, 0)
            addresses.ports[_HOST_B] = await tasks.start(
                peers_b.run, _ADDRESS, 0
            )
            await peers_a.request(_HOST_B, _Question(), 2_000.0)
            peers_a.announce_stop()
            peers_a.reconnect(_HOST_B)
            own_line = await _wait_for_line(
                lines, "peer:disconnected", _HOST_B
            )
            peer_line = await _wait_for_line(lines, "peer:closed", _HOST_A)
            tasks.cancel_scope.cancel()
    assert (own_line["reason"], own_line["is_stop"]) == ("silent", False)
    assert peer_line["is_stop"] is False
    assert peer_line["reason"].startswith("received 1011 (internal error);")


async def test_stop_of_a_dialling_host_of_an_older_build_keeps_its_reason():
    """Older builds close with 1011 when they stop."""
    addresses = _Addresses()
    peers_b = _make_peers(_HOST_B, addresses)
    with _captured_lines() as lines:
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(peers_b.run, _ADDRESS, 0)
            async with client.connect(
                f"ws://{_ADDRESS}:{port}/", compression=None
            ) as websocket:
                await handshake.authenticate_as_client(
                    websocket.send,
                    websocket.recv,
                    _FLEET_SECRET,
                    peer.Identity(_HOST_A, model.Incarnation(1)),
                    _HOST_B,
                )
                await websocket.close(1011)
            line = await _wait_for_line(lines, "peer:closed", _HOST_A)
            tasks.cancel_scope.cancel()
    assert line["is_stop"] is False
    assert line["reason"].startswith("received 1011 (internal error);")


async def test_stop_of_an_accepting_host_of_an_older_build_keeps_its_reason():
    """Older builds close with 1001 without a reason, also after errors."""
    addresses = _Addresses()
    peers_a = _make_peers(_HOST_A, addresses)

    async def serve(websocket):
        await handshake.authenticate_as_server(
            websocket.send,
            websocket.recv,
            _FLEET_SECRET,
            peer.Identity(_HOST_B, model.Incarnation(1)),
        )
        await websocket.recv()
        await websocket.close(1001)

    with _captured_lines() as lines:
        async with (
            server.serve(serve, _ADDRESS, 0, compression=None) as listener,
            anyio.create_task_group() as tasks,
        ):
            await tasks.start(peers_a.run, _ADDRESS, 0)
            addresses.ports[_HOST_B] = next(
                iter(listener.sockets)
            ).getsockname()[1]
            peers_a.notify(_HOST_B, _Question())
            line = await _wait_for_line(lines, "peer:disconnected", _HOST_B)
            tasks.cancel_scope.cancel()
    assert line["is_stop"] is False
    assert line["reason"].startswith("received 1001 (going away);")
