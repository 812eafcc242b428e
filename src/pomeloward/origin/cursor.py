"""What a reader reads next."""

import dataclasses

from pomeloward import model
from pomeloward.origin import head

# Reading this many changes one by one costs about as much as a snapshot.
MAX_CHANGES_BEHIND = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChange:
    """Read one change."""

    version: model.Version


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Read all shards of a snapshot."""

    version: model.Version
    shards: int


class Cursor:
    """Follows the head, one change after the other.

    Changes are taken strictly in order, so that every reader accepts and
    rejects the same ones. A change that was rejected uses up its version.
    """

    def __init__(self) -> None:
        self._head = head.Head(model.Version(0))
        self._consumed = 0
        self._missing: set[int] = set()
        self._tried_snapshot = 0

    def on_head(self, newest: head.Head) -> None:
        """Take the head; one from a stale replica is ignored."""
        if newest.version >= self._head.version:
            self._head = newest
            self._missing.clear()

    def on_waited(self) -> None:
        """Try missing values again."""
        self._missing.clear()

    @property
    def is_incomplete(self) -> bool:
        """Whether a published value was not found."""
        return bool(self._missing)

    def on_change(self, version: model.Version, was_found: bool) -> None:
        """Note that a change was delivered, or that it is not there."""
        if was_found:
            self._consumed = max(self._consumed, version)
        else:
            self._missing.add(version)

    def on_snapshot(self, version: model.Version, was_found: bool) -> None:
        """Note that a snapshot was delivered or is incomplete."""
        if was_found:
            self._tried_snapshot = version
            self._consumed = max(self._consumed, version)
        else:
            self._missing.add(version)

    def next_read(
        self, accepted: model.Version
    ) -> ReadChange | ReadSnapshot | None:
        """Return the next read, or None to wait for a newer head."""
        position = max(accepted, self._consumed)
        following = model.Version(position + 1)
        if self._needs_snapshot(accepted, position):
            return ReadSnapshot(self._head.snapshot_version, self._head.shards)
        if position < self._head.version and following not in self._missing:
            return ReadChange(following)
        return None

    def _needs_snapshot(self, accepted: int, position: int) -> bool:
        snapshot = self._head.snapshot_version
        if snapshot <= max(accepted, self._tried_snapshot):
            return False
        if snapshot in self._missing:
            return False
        return (
            accepted == 0
            or snapshot <= position
            or snapshot - position > MAX_CHANGES_BEHIND
            or position + 1 in self._missing
        )
