"""A small sorted run of packed entries."""

import array
import bisect
import collections.abc
import sys


class Shard:
    """Packed entries sorted by the 64-bit hash of their names.

    Three flat objects hold any number of entries, so that the garbage
    collector has nothing to walk and an entry costs 12 bytes beyond its
    payload. Shards are immutable; an update makes a new one.
    """

    __slots__ = ("_ends", "_hashes", "_payload")

    def __init__(
        self, entries: collections.abc.Iterable[tuple[int, bytes]] = ()
    ) -> None:
        pairs = sorted(entries)
        self._hashes = array.array("Q", [pair[0] for pair in pairs])
        ends = []
        end = 0
        for _, payload in pairs:
            end += len(payload)
            ends.append(end)
        self._ends = array.array("I", ends)
        self._payload = b"".join([payload for _, payload in pairs])

    def __len__(self) -> int:
        return len(self._hashes)

    def get(self, hashed: int) -> bytes | None:
        """Return the payload under a hash."""
        index = bisect.bisect_left(self._hashes, hashed)
        if index == len(self._hashes) or self._hashes[index] != hashed:
            return None
        return self._at(index)

    def entries(self) -> collections.abc.Iterator[tuple[int, bytes]]:
        """Iterate over hashes and payloads in order of hash."""
        return zip(self._hashes, self.payloads(), strict=True)

    def payloads(self) -> collections.abc.Iterator[bytes]:
        """Iterate over payloads in order of hash."""
        start = 0
        for end in self._ends:
            yield self._payload[start:end]
            start = end

    def memory_bytes(self) -> int:
        """Return the memory that the shard takes, with its parts."""
        parts = (self, self._hashes, self._ends, self._payload)
        return sum(map(sys.getsizeof, parts))

    def payload_bytes(self) -> int:
        """Return the size of all payloads together."""
        return len(self._payload)

    def updated(
        self, changes: collections.abc.Mapping[int, bytes | None]
    ) -> "Shard":
        """Return a shard with payloads replaced, or removed where None."""
        entries = dict(self.entries())
        entries.update(
            (hashed, payload)
            for hashed, payload in changes.items()
            if payload is not None
        )
        return Shard(
            (hashed, payload)
            for hashed, payload in entries.items()
            if changes.get(hashed, payload) is not None
        )

    def _at(self, index: int) -> bytes:
        start = self._ends[index - 1] if index else 0
        return self._payload[start : self._ends[index]]
