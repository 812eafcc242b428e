"""An immutable table that shares unchanged shards with its successors."""

import collections
import collections.abc
import sys
import typing

import xxhash

from pomeloward import model
from pomeloward.catalog import codec
from pomeloward.catalog import shard

Value = typing.TypeVar("Value")

# 62 teams or 125 keys in a shard at the planned size: an update rewrites
# about 6 KB, and copying the list of shards costs another 8 KB.
SHARD_COUNT = 1024
SHIFT = 64 - 10
EMPTY = shard.Shard()


class Table(typing.Generic[Value]):
    """Values by name, packed into shards by the hash of the name.

    Example::

        table = Table(codec.RecordCodec(records.Team)).updated([team], [])
        table.get(team.id)
    """

    __slots__ = ("_codec", "_shards")

    def __init__(
        self,
        value_codec: codec.Codec[Value],
        shards: tuple[shard.Shard, ...] = (EMPTY,) * SHARD_COUNT,
    ) -> None:
        self._codec = value_codec
        self._shards = shards

    def __len__(self) -> int:
        return sum(map(len, self._shards))

    def get(self, name: str) -> Value | None:
        """Return the value of a name."""
        hashed = xxhash.xxh64_intdigest(name.encode())
        payload = self._shards[hashed >> SHIFT].get(hashed)
        if payload is None:
            return None
        value = self._codec.decode(payload)
        # Callers choose some names (paths), and the hash is not secure.
        return value if self._codec.name(value) == name else None

    def values(self) -> collections.abc.Iterator[Value]:
        """Iterate over all values, in the order of their hashes."""
        for payload in self.payloads(0, SHARD_COUNT):
            yield self._codec.decode(payload)

    def payloads(
        self, first: int, end: int
    ) -> collections.abc.Iterator[bytes]:
        """Iterate over the packed values of a range of shards."""
        for part in self._shards[first:end]:
            # Most shards of a small configuration are this one.
            if part is not EMPTY:
                yield from part.payloads()

    def memory_bytes(self) -> int:
        """Return the memory of all shards and of their list."""
        shards = sum(part.memory_bytes() for part in set(self._shards))
        return shards + sys.getsizeof(self._shards)

    def payload_bytes(self) -> int:
        """Return the size of all packed values together."""
        return sum(part.payload_bytes() for part in self._shards)

    def updated(
        self,
        put: collections.abc.Iterable[Value],
        delete: collections.abc.Iterable[str],
    ) -> "Table[Value]":
        """Return a table with values put and names removed.

        Raises ``ConfigurationError`` when two names have the same hash.
        """
        changes: dict[int, dict[int, bytes | None]] = collections.defaultdict(
            dict
        )
        for name in delete:
            hashed = xxhash.xxh64_intdigest(name.encode())
            changes[hashed >> SHIFT][hashed] = None
        for value in put:
            name = self._codec.name(value)
            hashed = xxhash.xxh64_intdigest(name.encode())
            part = changes[hashed >> SHIFT]
            known = part.get(hashed) or self._shards[hashed >> SHIFT].get(
                hashed
            )
            if known is not None:
                self._check_collision(name, known)
            part[hashed] = self._codec.encode(value)
        if not changes:
            return self
        shards = list(self._shards)
        for index, part in changes.items():
            shards[index] = shards[index].updated(part)
        return Table(self._codec, tuple(shards))

    def _check_collision(self, name: str, known: bytes) -> None:
        other = self._codec.name(self._codec.decode(known))
        if other != name:
            raise model.ConfigurationError(
                f"{name}: the hash of the name is that of {other}; rename it"
            )
