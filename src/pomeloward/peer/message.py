"""Base class of the messages between hosts."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of every message between hosts.

    A subclass sets its wire tag, for example
    ``class Beat(peer.Message, frozen=True, tag="beat")``. Fields are numbers,
    strings, bytes, enums, tuples and nested structs, so that CBOR can encode
    them and msgspec validates them on receipt. A message is encoded as an
    array of its tag and its fields, without field names. A new field is
    added at the end and has a default, so that hosts of two releases can
    read each other's messages.
    """


def wire_tag(message_type: type[Message]) -> str:
    """Return the tag that identifies a message type on the wire."""
    return str(message_type.__struct_config__.tag)
