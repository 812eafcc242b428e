"""Encoding of frames between hosts: CBOR (RFC 8949) validated by msgspec.

A frame is a CBOR array of byte strings, and each byte string is one envelope.
An envelope is an array of its kind, the correlation id unless it is a
notification, and the message unless the kind is ``NO_RESPONSE``. Tagged CBOR
values are rejected: no message uses them, and some decode into objects whose
size or cost the sender chooses.
"""

import dataclasses
import enum
import typing

import cbor2
import msgspec

from pomeloward import model
from pomeloward.peer import message

MAX_FRAME_BYTES = 1_048_576
# The most deeply nested message type has 5 levels.
MAX_NESTING_DEPTH = 16
# Room for the array header and byte string header around one envelope.
_FRAME_OVERHEAD_BYTES = 16
MAX_ENVELOPE_BYTES = MAX_FRAME_BYTES - _FRAME_OVERHEAD_BYTES


class EnvelopeKind(enum.IntEnum):
    """The role of an envelope in an exchange of messages.

    ``NO_RESPONSE`` ends a request for which no response can be sent.
    """

    NOTIFICATION = 0
    REQUEST = 1
    RESPONSE = 2
    NO_RESPONSE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A received envelope.

    ``correlation_id`` matches a response to its request and is 0 for a
    notification. ``message`` is None for ``NO_RESPONSE`` and for a message
    type that this release does not know, which happens while two releases
    run in one fleet.
    """

    kind: EnvelopeKind
    correlation_id: int
    message_tag: str
    message: message.Message | None
    size_bytes: int


def encode_envelope(
    kind: EnvelopeKind, correlation_id: int, content: message.Message | None
) -> bytes:
    """Return an encoded envelope.

    Raises ``PeerProtocolError`` if it does not fit into a frame.
    """
    parts: list[object] = [int(kind)]
    if kind is not EnvelopeKind.NOTIFICATION:
        parts.append(correlation_id)
    if content is not None:
        parts.append(
            msgspec.to_builtins(
                content, builtin_types=(bytes,), str_keys=False
            )
        )
    encoded = cbor2.dumps(parts)
    if len(encoded) > MAX_ENVELOPE_BYTES:
        message_tag = (
            "" if content is None else message.wire_tag(type(content))
        )
        raise model.PeerProtocolError(
            f"message {message_tag} of {len(encoded)} bytes exceeds the limit"
        )
    return encoded


def encode_frame(encoded_envelopes: list[bytes]) -> bytes:
    """Return a frame that contains encoded envelopes."""
    return cbor2.dumps(encoded_envelopes)


def decode_frame(frame: bytes) -> list[Envelope]:
    """Return the validated envelopes of a frame.

    Raises ``PeerProtocolError`` if the frame is not valid.
    """
    encoded_envelopes = decode_cbor(frame, max_depth=1)
    if not isinstance(encoded_envelopes, list):
        raise model.PeerProtocolError("a frame must be an array")
    return [_decode_envelope(encoded) for encoded in encoded_envelopes]


def decode_cbor(encoded: bytes, max_depth: int = MAX_NESTING_DEPTH) -> object:
    """Return the decoded value of untrusted CBOR.

    Raises ``PeerProtocolError`` if it is truncated, malformed, tagged or
    nested too deeply.
    """
    try:
        return cbor2.loads(
            encoded,
            max_depth=max_depth,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
            semantic_decoders=_REJECTED_TAGS,
            tag_hook=_reject_unknown_tag,
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
        kind = EnvelopeKind(_require_unsigned_integer(parts[0]))
    except ValueError as error:
        raise model.PeerProtocolError(str(error)) from error
    expected_parts = {
        EnvelopeKind.NOTIFICATION: 2,
        EnvelopeKind.NO_RESPONSE: 2,
    }.get(kind, 3)
    if len(parts) != expected_parts:
        raise model.PeerProtocolError(
            f"an envelope of kind {kind.name} must have {expected_parts} parts"
        )
    correlation_id = (
        0
        if kind is EnvelopeKind.NOTIFICATION
        else _require_unsigned_integer(parts[1])
    )
    if kind is EnvelopeKind.NO_RESPONSE:
        return Envelope(kind, correlation_id, "", None, len(encoded))
    message_tag, content = _decode_message(parts[-1])
    return Envelope(kind, correlation_id, message_tag, content, len(encoded))


def _decode_message(
    tag_and_fields: object,
) -> tuple[str, message.Message | None]:
    if not isinstance(tag_and_fields, list) or not tag_and_fields:
        raise model.PeerProtocolError("a message must be an array")
    message_tag = tag_and_fields[0]
    if not isinstance(message_tag, str):
        raise model.PeerProtocolError("a message tag must be a string")
    message_type = _find_message_type(message_tag)
    if message_type is None:
        return message_tag, None
    try:
        return message_tag, msgspec.convert(
            tag_and_fields, message_type, strict=True
        )
    except (msgspec.ValidationError, RecursionError) as error:
        raise model.PeerProtocolError(
            f"message {message_tag}: {error}"
        ) from error


def _require_unsigned_integer(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise model.PeerProtocolError("expected an unsigned integer")
    return value


def _reject_unknown_tag(*_: object) -> typing.NoReturn:
    raise model.PeerProtocolError("tagged CBOR values are not allowed")


def _reject_built_in_tag(_: object) -> typing.NoReturn:
    raise model.PeerProtocolError("tagged CBOR values are not allowed")


# Every tag that cbor2 decodes without a tag hook.
_REJECTED_TAGS = dict.fromkeys(
    (0, 1, 2, 3, 4, 5, 25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260)
    + (261, 1004, 43000, 55799),
    _reject_built_in_tag,
)

_MESSAGE_TYPES_BY_TAG: dict[str, type[message.Message]] = {}


def _find_message_type(message_tag: str) -> type[message.Message] | None:
    """Return the message type with a tag, or None if none is defined."""
    message_type = _MESSAGE_TYPES_BY_TAG.get(message_tag)
    if message_type is None:
        _index_subclasses(message.Message)
        message_type = _MESSAGE_TYPES_BY_TAG.get(message_tag)
    return message_type


def _index_subclasses(base: type[message.Message]) -> None:
    """Add all direct and indirect subclasses to the types by tag."""
    for subclass in base.__subclasses__():
        _MESSAGE_TYPES_BY_TAG[message.wire_tag(subclass)] = subclass
        _index_subclasses(subclass)
