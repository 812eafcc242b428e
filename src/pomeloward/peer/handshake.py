"""Mutual authentication by challenge-response with the fleet secret.

The client, which opened the connection, sends its identity and a nonce. The
server answers with its own identity, a nonce and an HMAC over both identities
and both nonces. The client proves that it knows the secret with a second HMAC
over the same data. Each HMAC also covers a label of its sender's role, so that
the proof of one side can't be replayed as that of the other.
"""

import collections.abc
import hashlib
import hmac
import secrets
import typing

import cbor2
import msgspec

from pomeloward import model
from pomeloward.peer import identity
from pomeloward.peer import wireformat

NONCE_BYTES = 32
# Larger than any handshake message; limits what a peer can send before it
# is authenticated.
MAX_HANDSHAKE_MESSAGE_BYTES = 1_024
_PROTOCOL_VERSION = 1

SendBytes = collections.abc.Callable[
    [bytes], collections.abc.Coroutine[object, object, None]
]
ReceiveFrame = collections.abc.Callable[
    [], collections.abc.Coroutine[object, object, bytes | str]
]


# The type of a handshake message.
_Part = typing.TypeVar("_Part", bound=msgspec.Struct)


class _Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message of the client."""

    # The version of the handshake protocol.
    protocol: int
    host: str
    incarnation: int
    nonce: bytes


class _Challenge(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the server, with its proof."""

    host: str
    incarnation: int
    nonce: bytes
    proof: bytes


class _Proof(msgspec.Struct, frozen=True, array_like=True):
    """Second message of the client."""

    proof: bytes


async def authenticate_as_client(
    send: SendBytes,
    receive: ReceiveFrame,
    fleet_secret: bytes,
    own_identity: identity.Identity,
    expected_host: model.HostId,
) -> identity.Identity:
    """Run the handshake of the side that opened the connection.

    Returns the server's identity; raises ``PeerProtocolError`` if the server
    is not ``expected_host`` or does not know the secret.
    """
    client_nonce = secrets.token_bytes(NONCE_BYTES)
    await send(
        _encode_message(
            _Hello(
                _PROTOCOL_VERSION,
                own_identity.host,
                own_identity.incarnation,
                client_nonce,
            )
        )
    )
    challenge = _decode_message(await receive(), _Challenge)
    server_identity = _make_identity(challenge.host, challenge.incarnation)
    _check_nonce_length(challenge.nonce)
    transcript = _encode_transcript(
        own_identity, server_identity, client_nonce, challenge.nonce
    )
    _verify_proof(challenge.proof, fleet_secret, b"accept", transcript)
    if server_identity.host != expected_host:
        raise model.PeerProtocolError(
            f"expected host {expected_host}, found {server_identity.host}"
        )
    await send(
        _encode_message(
            _Proof(_compute_proof(fleet_secret, b"connect", transcript))
        )
    )
    return server_identity


async def authenticate_as_server(
    send: SendBytes,
    receive: ReceiveFrame,
    fleet_secret: bytes,
    own_identity: identity.Identity,
) -> identity.Identity:
    """Run the handshake of the side that accepted the connection.

    Returns the client's identity; raises ``PeerProtocolError`` if the client
    does not know the secret.
    """
    hello = _decode_message(await receive(), _Hello)
    if hello.protocol != _PROTOCOL_VERSION:
        raise model.PeerProtocolError(
            f"unknown handshake protocol version {hello.protocol}"
        )
    client_identity = _make_identity(hello.host, hello.incarnation)
    _check_nonce_length(hello.nonce)
    server_nonce = secrets.token_bytes(NONCE_BYTES)
    transcript = _encode_transcript(
        client_identity, own_identity, hello.nonce, server_nonce
    )
    own_proof = _compute_proof(fleet_secret, b"accept", transcript)
    await send(
        _encode_message(
            _Challenge(
                own_identity.host,
                own_identity.incarnation,
                server_nonce,
                own_proof,
            )
        )
    )
    client_proof = _decode_message(await receive(), _Proof)
    _verify_proof(client_proof.proof, fleet_secret, b"connect", transcript)
    return client_identity


def _encode_transcript(
    client_identity: identity.Identity,
    server_identity: identity.Identity,
    client_nonce: bytes,
    server_nonce: bytes,
) -> bytes:
    return cbor2.dumps(
        [
            _PROTOCOL_VERSION,
            client_identity.host,
            client_identity.incarnation,
            client_nonce,
            server_identity.host,
            server_identity.incarnation,
            server_nonce,
        ]
    )


def _compute_proof(
    fleet_secret: bytes, role_label: bytes, transcript: bytes
) -> bytes:
    return hmac.digest(
        fleet_secret, role_label + b"\0" + transcript, hashlib.sha256
    )


def _verify_proof(
    proof: bytes, fleet_secret: bytes, role_label: bytes, transcript: bytes
) -> None:
    if not hmac.compare_digest(
        proof, _compute_proof(fleet_secret, role_label, transcript)
    ):
        raise model.PeerProtocolError("the peer's proof is wrong")


def _check_nonce_length(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise model.PeerProtocolError("a nonce has the wrong length")


def _make_identity(host: str, incarnation: int) -> identity.Identity:
    return identity.Identity(
        model.HostId(host), model.Incarnation(incarnation)
    )


def _encode_message(handshake_message: msgspec.Struct) -> bytes:
    return cbor2.dumps(
        msgspec.to_builtins(handshake_message, builtin_types=(bytes,))
    )


def _decode_message(frame: bytes | str, message_type: type[_Part]) -> _Part:
    if (
        not isinstance(frame, bytes)
        or len(frame) > MAX_HANDSHAKE_MESSAGE_BYTES
    ):
        raise model.PeerProtocolError(
            "a handshake message is not binary or is too large"
        )
    try:
        return msgspec.convert(
            wireformat.decode_cbor(frame), message_type, strict=True
        )
    except msgspec.ValidationError as error:
        raise model.PeerProtocolError(
            f"invalid handshake message: {error}"
        ) from error
