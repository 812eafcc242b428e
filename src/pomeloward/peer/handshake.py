"""Mutual authentication by challenge and response with the fleet secret.

The one that connects sends its identity and a nonce. The other answers with
its own identity, a nonce and an HMAC over both identities and both nonces;
the first one proves itself with a second HMAC over the same. A label keeps
one side's proof from being played back as the other's.
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
# Nothing in a handshake is longer; the limit holds before authentication.
MAX_HANDSHAKE_BYTES = 1_024
_PROTOCOL_VERSION = 1

Send = collections.abc.Callable[
    [bytes], collections.abc.Coroutine[object, object, None]
]
Receive = collections.abc.Callable[
    [], collections.abc.Coroutine[object, object, bytes | str]
]


_Part = typing.TypeVar("_Part", bound=msgspec.Struct)


class _Hello(msgspec.Struct, frozen=True, array_like=True):
    protocol: int
    host: str
    incarnation: int
    nonce: bytes


class _Challenge(msgspec.Struct, frozen=True, array_like=True):
    host: str
    incarnation: int
    nonce: bytes
    proof: bytes


class _Proof(msgspec.Struct, frozen=True, array_like=True):
    proof: bytes


async def connect(
    send: Send,
    receive: Receive,
    secret: bytes,
    own: identity.Identity,
    expected: model.HostId,
) -> identity.Identity:
    """Authenticate as the side that opened the connection.

    Returns the peer's identity; raises ``PeerProtocolError`` when the peer
    is not ``expected`` or does not know the secret.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await send(
        _encode(_Hello(_PROTOCOL_VERSION, own.host, own.incarnation, nonce))
    )
    challenge = _decode(await receive(), _Challenge)
    peer = _identity(challenge.host, challenge.incarnation)
    _check_nonce(challenge.nonce)
    transcript = _transcript(own, peer, nonce, challenge.nonce)
    _check_proof(challenge.proof, secret, b"accept", transcript)
    if peer.host != expected:
        raise model.PeerProtocolError(
            f"expected host {expected}, found {peer.host}"
        )
    await send(_encode(_Proof(_prove(secret, b"connect", transcript))))
    return peer


async def accept(
    send: Send,
    receive: Receive,
    secret: bytes,
    own: identity.Identity,
) -> identity.Identity:
    """Authenticate as the side that was connected to.

    Returns the peer's identity; raises ``PeerProtocolError`` when the peer
    does not know the secret.
    """
    hello = _decode(await receive(), _Hello)
    if hello.protocol != _PROTOCOL_VERSION:
        raise model.PeerProtocolError(f"unknown protocol {hello.protocol}")
    peer = _identity(hello.host, hello.incarnation)
    _check_nonce(hello.nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    transcript = _transcript(peer, own, hello.nonce, nonce)
    proof = _prove(secret, b"accept", transcript)
    await send(_encode(_Challenge(own.host, own.incarnation, nonce, proof)))
    answer = _decode(await receive(), _Proof)
    _check_proof(answer.proof, secret, b"connect", transcript)
    return peer


def _transcript(
    connecting: identity.Identity,
    accepting: identity.Identity,
    connecting_nonce: bytes,
    accepting_nonce: bytes,
) -> bytes:
    return cbor2.dumps(
        [
            _PROTOCOL_VERSION,
            connecting.host,
            connecting.incarnation,
            connecting_nonce,
            accepting.host,
            accepting.incarnation,
            accepting_nonce,
        ]
    )


def _prove(secret: bytes, label: bytes, transcript: bytes) -> bytes:
    return hmac.digest(secret, label + b"\0" + transcript, hashlib.sha256)


def _check_proof(
    proof: bytes, secret: bytes, label: bytes, transcript: bytes
) -> None:
    if not hmac.compare_digest(proof, _prove(secret, label, transcript)):
        raise model.PeerProtocolError("the peer's proof is wrong")


def _check_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise model.PeerProtocolError("a nonce has the wrong length")


def _identity(host: str, incarnation: int) -> identity.Identity:
    return identity.Identity(
        model.HostId(host), model.Incarnation(incarnation)
    )


def _encode(part: msgspec.Struct) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(part, builtin_types=(bytes,)))


def _decode(frame: bytes | str, expected: type[_Part]) -> _Part:
    if not isinstance(frame, bytes) or len(frame) > MAX_HANDSHAKE_BYTES:
        raise model.PeerProtocolError("a handshake frame is malformed")
    try:
        return msgspec.convert(
            wireformat.decode_cbor(frame), expected, strict=True
        )
    except msgspec.ValidationError as error:
        raise model.PeerProtocolError(f"handshake: {error}") from error
