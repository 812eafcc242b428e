"""Tests of mutual authentication between hosts."""

import anyio
import pytest

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import handshake

_A = peer.Identity(model.HostId("a"), model.Incarnation(5))
_B = peer.Identity(model.HostId("b"), model.Incarnation(6))


async def _run(secret_a: bytes, secret_b: bytes, expected: str, tamper=None):
    """Run both sides over memory streams; returns what each concluded."""
    to_b, from_a = anyio.create_memory_object_stream[bytes](4)
    to_a, from_b = anyio.create_memory_object_stream[bytes](4)
    found: dict[str, object] = {}

    async def send_to_b(frame: bytes) -> None:
        await to_b.send(tamper(frame) if tamper else frame)

    async def conclude(name, run, stream) -> None:
        try:
            found[name] = await run
        except (model.PeerProtocolError, anyio.EndOfStream) as error:
            found[name] = error
        stream.close()

    async with anyio.create_task_group() as tasks:
        connecting = handshake.connect(
            send_to_b, from_b.receive, secret_a, _A, model.HostId(expected)
        )
        accepting = handshake.accept(to_a.send, from_a.receive, secret_b, _B)
        tasks.start_soon(conclude, "a", connecting, to_b)
        tasks.start_soon(conclude, "b", accepting, to_a)
    for stream in (to_a, to_b, from_a, from_b):
        stream.close()
    return found["a"], found["b"]


def test_both_sides_learn_the_other():
    """Guards against an identity that is mixed up."""
    assert anyio.run(_run, b"s", b"s", "b") == (_B, _A)


@pytest.mark.parametrize(
    ("secret_a", "expected"), [(b"other", "b"), (b"s", "c")]
)
def test_wrong_secret_or_host_is_refused(secret_a, expected):
    """Guards against a stranger, and a host that answers for another."""
    concluded_a, concluded_b = anyio.run(_run, secret_a, b"s", expected)
    assert isinstance(concluded_a, model.PeerProtocolError)
    assert isinstance(concluded_b, Exception)


def test_changed_identity_is_refused():
    """Guards against a host that claims another incarnation or name."""

    def tamper(frame: bytes) -> bytes:
        return frame.replace(b"\x61a\x05", b"\x61c\x05")

    concluded_a, concluded_b = anyio.run(_run, b"s", b"s", "b", tamper)
    assert isinstance(concluded_a, model.PeerProtocolError)
    assert isinstance(concluded_b, Exception)


def test_own_proof_cannot_be_played_back():
    """Guards against a stranger that reflects a host's own challenge."""

    async def scenario() -> None:
        to_host, received = anyio.create_memory_object_stream[bytes](4)
        sent: list[bytes] = []

        async def reflect(frame: bytes) -> None:
            sent.append(frame)
            if len(sent) == 1:
                # The stranger answers the challenge with its own proof.
                proof = frame[-34:]
                await to_host.send(b"\x81" + proof)

        hello = b"\x84\x01\x61a\x05" + b"\x58\x20" + bytes(32)
        await to_host.send(hello)
        with pytest.raises(model.PeerProtocolError, match="proof"):
            await handshake.accept(reflect, received.receive, b"s", _B)
        to_host.close()
        received.close()

    anyio.run(scenario)
