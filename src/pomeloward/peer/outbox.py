"""The bounded queue of messages that wait for a connection."""

import collections
import dataclasses

import anyio

from pomeloward.peer import wireformat

# Bounds of one queue; a peer that reads this slowly is of no use.
MAX_MESSAGES = 1_024
MAX_BYTES = 4 * wireformat.MAX_FRAME_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """An encoded envelope in the queue.

    ``due_ms`` is when it may leave, ``expires_ms`` when it is of no use any
    more, and ``ask_id`` is 0 except for asks.
    """

    tag: str
    encoded: bytes
    due_ms: float
    expires_ms: float
    ask_id: int = 0


class Outbox:
    """Messages to one peer, in order, bounded by number and size."""

    def __init__(self) -> None:
        self._items: collections.deque[Item] = collections.deque()
        self._size = 0
        self._filled = anyio.Event()

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item, now_ms: float) -> bool:
        """Add a message; returns False when there is no room."""
        if self._is_full(item):
            self.drop_expired(now_ms)
            if self._is_full(item):
                return False
        self._items.append(item)
        self._size += len(item.encoded)
        self._filled.set()
        return True

    def _is_full(self, item: Item) -> bool:
        return (
            len(self._items) >= MAX_MESSAGES
            or self._size + len(item.encoded) > MAX_BYTES
        )

    async def wait(self) -> None:
        """Wait until there is a message."""
        while not self._items:
            self._filled = anyio.Event()
            await self._filled.wait()

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until the first message may leave."""
        return max(0.0, self._items[0].due_ms - now_ms)

    def take_frame(self, now_ms: float) -> list[Item]:
        """Remove and return the due messages that fit into one frame."""
        taken: list[Item] = []
        size = 0
        while self._items and self._items[0].due_ms <= now_ms:
            # A byte string header takes at most 5 bytes, the array's 5.
            size += len(self._items[0].encoded) + 5
            if taken and size + 5 > wireformat.MAX_FRAME_BYTES:
                break
            item = self._items.popleft()
            self._size -= len(item.encoded)
            if item.expires_ms > now_ms:
                taken.append(item)
        return taken

    def drop_expired(self, now_ms: float) -> None:
        """Remove the messages that are of no use any more."""
        self._items = collections.deque(
            item for item in self._items if item.expires_ms > now_ms
        )
        self._size = sum(len(item.encoded) for item in self._items)

    def clear(self) -> list[Item]:
        """Remove and return everything."""
        items = list(self._items)
        self._items.clear()
        self._size = 0
        return items
