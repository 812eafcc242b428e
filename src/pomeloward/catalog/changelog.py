"""The latest accepted changes, for peers that miss them."""

import bisect

from pomeloward import model
from pomeloward.catalog import change

# About 5,000 changes of 200 bytes: more than a day at the planned size.
MAX_LOG_BYTES = 1_000_000
MAX_ANSWER_BYTES = 64_000


class ChangeLog:
    """An unbroken chain of published changes up to the version in force."""

    def __init__(self) -> None:
        self._bases: list[model.Version] = []
        self._payloads: list[bytes] = []
        self._size = 0

    def append(self, changed: change.Change, payload: bytes) -> None:
        """Add the change that was just accepted."""
        self._bases.append(changed.base)
        self._payloads.append(payload)
        self._size += len(payload)
        if self._size > MAX_LOG_BYTES:
            self._drop_oldest()

    def clear(self) -> None:
        """Forget all changes, after a snapshot came into force."""
        self._bases.clear()
        self._payloads.clear()
        self._size = 0

    def after(self, version: model.Version) -> tuple[bytes, ...] | None:
        """Return the changes that follow a version, as many as one answer.

        Returns None when the log does not hold them.
        """
        first = bisect.bisect_left(self._bases, version)
        if first == len(self._bases) or self._bases[first] != version:
            return None
        found: list[bytes] = []
        size = 0
        for payload in self._payloads[first:]:
            size += len(payload)
            if found and size > MAX_ANSWER_BYTES:
                break
            found.append(payload)
        return tuple(found)

    def _drop_oldest(self) -> None:
        # Dropping a quarter at once keeps the mean cost of a change small.
        count = 0
        while self._size > MAX_LOG_BYTES * 3 // 4:
            self._size -= len(self._payloads[count])
            count += 1
        del self._bases[:count]
        del self._payloads[:count]
