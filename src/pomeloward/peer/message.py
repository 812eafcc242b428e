"""Base of the messages between hosts."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of every message between hosts.

    A subclass sets its wire tag, for example
    ``class Beat(peer.Message, frozen=True, tag="beat")``. Fields are numbers,
    strings, bytes, enums, tuples and nested structs, so that CBOR carries
    them and msgspec checks them on arrival. A message travels as an array
    of its tag and its fields, without field names; a field that is added
    later goes to the end and has a default, so that hosts of two releases
    understand each other.
    """


def wire_tag(message_type: type[Message]) -> str:
    """Return the wire tag of a message type."""
    return str(message_type.__struct_config__.tag)
