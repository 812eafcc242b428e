"""Tests of mutual authentication between hosts."""

import anyio
import pytest

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import handshake

_CLIENT = peer.Identity(model.HostId("a"), model.Incarnation(5))
_SERVER = peer.Identity(model.HostId("b"), model.Incarnation(6))


async def _run_handshake(
    client_secret: bytes,
    server_secret: bytes,
    expected_host: str,
    tamper=None,
):
    """Run both sides over memory streams.

    ``tamper`` changes each frame from the client to the server. Returns what
    the client and the server ended with: the identity of the other side, or
    an exception.
    """
    to_server, from_client = anyio.create_memory_object_stream[bytes](4)
    to_client, from_server = anyio.create_memory_object_stream[bytes](4)
    results: dict[str, object] = {}

    async def send_to_server(frame: bytes) -> None:
        await to_server.send(tamper(frame) if tamper else frame)

    async def record_result(side, authentication, stream) -> None:
        try:
            results[side] = await authentication
        except (model.PeerProtocolError, anyio.EndOfStream) as error:
            results[side] = error
        stream.close()

    async with anyio.create_task_group() as tasks:
        client_authentication = handshake.authenticate_as_client(
            send_to_server,
            from_server.receive,
            client_secret,
            _CLIENT,
            model.HostId(expected_host),
        )
        server_authentication = handshake.authenticate_as_server(
            to_client.send, from_client.receive, server_secret, _SERVER
        )
        tasks.start_soon(
            record_result, "client", client_authentication, to_server
        )
        tasks.start_soon(
            record_result, "server", server_authentication, to_client
        )
    for stream in (to_client, to_server, from_client, from_server):
        stream.close()
    return results["client"], results["server"]


def test_each_side_gets_the_identity_of_the_other():
    """Guards against a side that gets a wrong identity."""
    assert anyio.run(_run_handshake, b"s", b"s", "b") == (_SERVER, _CLIENT)


@pytest.mark.parametrize(
    ("client_secret", "expected_host"), [(b"other", "b"), (b"s", "c")]
)
def test_wrong_secret_or_host_is_rejected(client_secret, expected_host):
    """Guards against an unauthenticated host and one that impersonates."""
    client_result, server_result = anyio.run(
        _run_handshake, client_secret, b"s", expected_host
    )
    assert isinstance(client_result, model.PeerProtocolError)
    assert isinstance(server_result, Exception)


def test_changed_identity_is_rejected():
    """Guards against a host id that is changed in transit."""

    def change_client_host(frame: bytes) -> bytes:
        return frame.replace(b"\x61a\x05", b"\x61c\x05")

    client_result, server_result = anyio.run(
        _run_handshake, b"s", b"s", "b", change_client_host
    )
    assert isinstance(client_result, model.PeerProtocolError)
    assert isinstance(server_result, Exception)


def test_server_proof_cannot_be_replayed_as_client_proof():
    """Guards against a client that sends a server's own proof back to it."""

    async def scenario() -> None:
        to_server, from_client = anyio.create_memory_object_stream[bytes](4)
        server_frames: list[bytes] = []

        async def replay_proof(frame: bytes) -> None:
            server_frames.append(frame)
            if len(server_frames) == 1:
                # The proof with its CBOR header ends the challenge.
                server_proof = frame[-34:]
                await to_server.send(b"\x81" + server_proof)

        hello = b"\x84\x01\x61a\x05" + b"\x58\x20" + bytes(32)
        await to_server.send(hello)
        with pytest.raises(model.PeerProtocolError, match="proof"):
            await handshake.authenticate_as_server(
                replay_proof, from_client.receive, b"s", _SERVER
            )
        to_server.close()
        from_client.close()

    anyio.run(scenario)
