"""The form of frames between hosts: CBOR (RFC 8949) checked by msgspec.

A frame is a CBOR array of byte strings; each byte string is one envelope. An
envelope is an array of its kind, the id of the ask where there is one, and
the message. Tagged CBOR values are refused: no message uses them, and some
decode into objects whose size or cost the sender chooses.
"""

import dataclasses
import enum
import typing

import cbor2
import msgspec

from pomeloward import model
from pomeloward.peer import message

MAX_FRAME_BYTES = 1_048_576
# The deepest message of the package nests 5 levels.
MAX_NESTING = 16
# Space for the array and byte string headers around one envelope.
_FRAME_HEADER_BYTES = 16
MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - _FRAME_HEADER_BYTES


class EnvelopeKind(enum.IntEnum):
    """What an envelope is for."""

    NOTIFICATION = 0
    REQUEST = 1
    RESPONSE = 2
    NO_RESPONSE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A received envelope.

    ``message`` is None in ``NO_ANSWER`` and when the type is not known here,
    which happens while two releases run in one fleet.
    """

    kind: EnvelopeKind
    ask_id: int
    tag: str
    message: message.Message | None
    size: int


def encode_envelope(
    kind: EnvelopeKind, ask_id: int, content: message.Message | None
) -> bytes:
    """Return the bytes of an envelope.

    Raises ``PeerProtocolError`` when they do not fit into a frame.
    """
    parts: list[object] = [int(kind)]
    if kind is not EnvelopeKind.NOTIFICATION:
        parts.append(ask_id)
    if content is not None:
        parts.append(
            msgspec.to_builtins(
                content, builtin_types=(bytes,), str_keys=False
            )
        )
    encoded = cbor2.dumps(parts)
    if len(encoded) > MAX_MESSAGE_BYTES:
        tag = "" if content is None else message.wire_tag(type(content))
        raise model.PeerProtocolError(
            f"message {tag} of {len(encoded)} bytes exceeds the limit"
        )
    return encoded


def encode_frame(envelopes: list[bytes]) -> bytes:
    """Return a frame of encoded envelopes."""
    return cbor2.dumps(envelopes)


def decode_frame(frame: bytes) -> list[Envelope]:
    """Return the checked envelopes of a frame.

    Raises ``PeerProtocolError`` for anything that is not a valid frame.
    """
    encoded = decode_cbor(frame, max_depth=1)
    if not isinstance(encoded, list):
        raise model.PeerProtocolError("a frame must be an array")
    return [_decode_envelope(item) for item in encoded]


def decode_cbor(encoded: bytes, max_depth: int = MAX_NESTING) -> object:
    """Decode CBOR from a peer within the limits.

    Raises ``PeerProtocolError`` when it is truncated, malformed, tagged or
    nested too deep.
    """
    try:
        return cbor2.loads(
            encoded,
            max_depth=max_depth,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
            semantic_decoders=_REFUSED_TAGS,
            tag_hook=_refuse_tag,
        )
    except (cbor2.CBORError, ValueError, OverflowError, MemoryError) as error:
        raise model.PeerProtocolError(f"invalid CBOR: {error}") from error


def _decode_envelope(encoded: object) -> Envelope:
    if not isinstance(encoded, bytes):
        raise model.PeerProtocolError("an envelope must be a byte string")
    parts = decode_cbor(encoded)
    if not isinstance(parts, list) or not parts:
        raise model.PeerProtocolError("an envelope must be an array")
    try:
        kind = EnvelopeKind(_integer(parts[0]))
    except ValueError as error:
        raise model.PeerProtocolError(str(error)) from error
    expected = {EnvelopeKind.NOTIFICATION: 2, EnvelopeKind.NO_RESPONSE: 2}.get(
        kind, 3
    )
    if len(parts) != expected:
        raise model.PeerProtocolError(
            f"an envelope of kind {kind.name} must have {expected} parts"
        )
    ask_id = 0 if kind is EnvelopeKind.NOTIFICATION else _integer(parts[1])
    if kind is EnvelopeKind.NO_RESPONSE:
        return Envelope(kind, ask_id, "", None, len(encoded))
    tag, content = _decode_message(parts[-1])
    return Envelope(kind, ask_id, tag, content, len(encoded))


def _decode_message(parts: object) -> tuple[str, message.Message | None]:
    if not isinstance(parts, list) or not parts:
        raise model.PeerProtocolError("a message must be an array")
    tag = parts[0]
    if not isinstance(tag, str):
        raise model.PeerProtocolError("a message tag must be a string")
    message_type = _type_of(tag)
    if message_type is None:
        return tag, None
    try:
        return tag, msgspec.convert(parts, message_type, strict=True)
    except (msgspec.ValidationError, RecursionError) as error:
        raise model.PeerProtocolError(f"message {tag}: {error}") from error


def _integer(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise model.PeerProtocolError("expected an unsigned integer")
    return value


def _refuse_tag(*_: object) -> typing.NoReturn:
    raise model.PeerProtocolError("tagged CBOR values are not allowed")


def _refuse_semantic(_: object) -> typing.NoReturn:
    raise model.PeerProtocolError("tagged CBOR values are not allowed")


# Every tag that cbor2 decodes by itself.
_REFUSED_TAGS = dict.fromkeys(
    (0, 1, 2, 3, 4, 5, 25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260)
    + (261, 1004, 43000, 55799),
    _refuse_semantic,
)

_TYPES: dict[str, type[message.Message]] = {}


def _type_of(tag: str) -> type[message.Message] | None:
    """Return the message type of a tag among all that are defined."""
    found = _TYPES.get(tag)
    if found is None:
        _collect_types(message.Message)
        found = _TYPES.get(tag)
    return found


def _collect_types(base: type[message.Message]) -> None:
    for subclass in base.__subclasses__():
        _TYPES[message.wire_tag(subclass)] = subclass
        _collect_types(subclass)
