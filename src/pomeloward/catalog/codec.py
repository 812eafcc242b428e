"""How table entries are packed into bytes."""

import collections.abc
import typing

import msgspec

from pomeloward.catalog import kind
from pomeloward.catalog import records

_ENCODER = msgspec.msgpack.Encoder()

Value = typing.TypeVar("Value")
Packed = typing.TypeVar("Packed", bound=msgspec.Struct)


class Codec(typing.Generic[Value]):
    """Packs values of one type and knows their names."""

    def encode(self, value: Value) -> bytes:
        """Return the packed form of a value."""
        raise NotImplementedError

    def decode(self, payload: bytes) -> Value:
        """Return the value of a packed form."""
        raise NotImplementedError

    def name(self, value: Value) -> str:
        """Return the name under which a value is found."""
        raise NotImplementedError


class RecordCodec(Codec[records.Record]):
    """Packs records of one kind as MessagePack arrays of their fields."""

    def __init__(self, record_type: type[msgspec.Struct]) -> None:
        self._fields = msgspec.structs.fields(record_type)
        types = tuple(field.type for field in self._fields)
        self._row = tuple.__class_getitem__(types)
        self._decoder: msgspec.msgpack.Decoder[tuple[typing.Any, ...]] = (
            msgspec.msgpack.Decoder(self._row)
        )
        self._build = typing.cast(
            collections.abc.Callable[..., records.Record], record_type
        )

    def encode(self, value: records.Record) -> bytes:
        """Return the fields of a record as an array."""
        return _ENCODER.encode(msgspec.structs.astuple(value))

    def decode(self, payload: bytes) -> records.Record:
        """Return the record of an array of fields."""
        return self._build(*self._decoder.decode(payload))

    def decode_foreign(self, payload: bytes) -> records.Record:
        """Return the record of another software version's array.

        New fields go to the end of a record with a default, so that fields
        may be missing or unknown during an upgrade.
        """
        found = msgspec.msgpack.decode(payload)
        if not isinstance(found, list):
            raise msgspec.ValidationError("a record is not an array")
        values = found[: len(self._fields)]
        for field in self._fields[len(values) :]:
            if field.default is msgspec.NODEFAULT:
                raise msgspec.ValidationError(f"no field {field.name}")
            values.append(field.default)
        return self._build(*msgspec.convert(values, self._row))

    def name(self, value: records.Record) -> str:
        """Return the identity of a record."""
        return kind.name_of(value)


class Group(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A named set of names, in sorted order."""

    name: str
    members: tuple[str, ...]


class Count(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A named number, at least 1."""

    name: str
    count: int


class GroupCodec(Codec[Group]):
    """Packs groups."""

    _decoder = msgspec.msgpack.Decoder(Group)

    def encode(self, value: Group) -> bytes:
        """Return the packed form of a group."""
        return _ENCODER.encode(value)

    def decode(self, payload: bytes) -> Group:
        """Return the group of a packed form."""
        return self._decoder.decode(payload)

    def name(self, value: Group) -> str:
        """Return the name of a group."""
        return value.name


class CountCodec(Codec[Count]):
    """Packs counts."""

    _decoder = msgspec.msgpack.Decoder(Count)

    def encode(self, value: Count) -> bytes:
        """Return the packed form of a count."""
        return _ENCODER.encode(value)

    def decode(self, payload: bytes) -> Count:
        """Return the count of a packed form."""
        return self._decoder.decode(payload)

    def name(self, value: Count) -> str:
        """Return the name of a count."""
        return value.name
