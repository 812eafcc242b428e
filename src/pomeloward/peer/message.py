"""Base of the messages between hosts."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of every message between hosts.

    A subclass sets its wire tag, for example
    ``class Beat(peer.Message, frozen=True, tag="beat")``. Fields are numbers,
    strings, bytes, enums, tuples and nested structs, so that CBOR carries
    them and msgspec checks them on arrival.
    """
