"""Builds a table from many values with little memory beside it."""

import collections.abc
import struct
import typing

import xxhash

from pomeloward import model
from pomeloward.catalog import codec
from pomeloward.catalog import shard
from pomeloward.catalog import table

Value = typing.TypeVar("Value")

# Hash of the name and length of the packed value.
_PREFIX = struct.Struct("<QI")


class TableBuilder(typing.Generic[Value]):
    """Collects packed values by shard and sorts each shard once.

    ``merge`` makes one value of two with the same name, or raises
    ``ConfigurationError``.
    """

    def __init__(
        self,
        value_codec: codec.Codec[Value],
        merge: collections.abc.Callable[[Value, Value], Value],
    ) -> None:
        self._codec = value_codec
        self._merge = merge
        self._buffers: list[bytearray | None] = [None] * table.SHARD_COUNT

    def add(self, value: Value) -> None:
        """Take a value."""
        hashed = xxhash.xxh64_intdigest(self._codec.name(value).encode())
        payload = self._codec.encode(value)
        index = hashed >> table.SHIFT
        buffer = self._buffers[index]
        if buffer is None:
            buffer = self._buffers[index] = bytearray()
        buffer += _PREFIX.pack(hashed, len(payload))
        buffer += payload

    def build(self) -> table.Table[Value]:
        """Return the table; the builder is empty afterwards."""
        shards = [table.EMPTY] * table.SHARD_COUNT
        for index, buffer in enumerate(self._buffers):
            if buffer is not None:
                shards[index] = shard.Shard(self._merged(buffer).items())
                self._buffers[index] = None
        return table.Table(self._codec, tuple(shards))

    def _merged(self, buffer: bytearray) -> dict[int, bytes]:
        found: dict[int, bytes] = {}
        start = 0
        while start < len(buffer):
            hashed, length = _PREFIX.unpack_from(buffer, start)
            start += _PREFIX.size
            payload = bytes(buffer[start : start + length])
            start += length
            known = found.get(hashed)
            if known is not None:
                payload = self._merge_packed(known, payload)
            found[hashed] = payload
        return found

    def _merge_packed(self, known: bytes, payload: bytes) -> bytes:
        first = self._codec.decode(known)
        second = self._codec.decode(payload)
        names = self._codec.name(first), self._codec.name(second)
        if names[0] != names[1]:
            raise model.ConfigurationError(
                f"{names[0]} and {names[1]} have the same hash; rename one"
            )
        return self._codec.encode(self._merge(first, second))
