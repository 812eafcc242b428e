"""Bounded queue of messages to one peer."""

import collections
import dataclasses

import anyio

from pomeloward.peer import wireformat

# Limits of one queue. A peer that lets it grow this far reads too slowly to
# be of use.
MAX_MESSAGES = 1_024
MAX_BYTES = 4 * wireformat.MAX_FRAME_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedMessage:
    """An encoded envelope that waits to be sent.

    It is not sent before ``due_at_ms`` and is dropped unsent from
    ``expires_at_ms`` on. ``correlation_id`` is 0 for a notification.
    """

    message_tag: str
    encoded_envelope: bytes
    due_at_ms: float
    expires_at_ms: float
    correlation_id: int = 0


class SendQueue:
    """First-in-first-out queue, limited by message count and bytes."""

    def __init__(self) -> None:
        self._messages: collections.deque[QueuedMessage] = collections.deque()
        self._total_bytes = 0
        self._message_added = anyio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def try_put(self, queued_message: QueuedMessage, now_ms: float) -> bool:
        """Add a message; return False if the queue has no room for it."""
        if self._is_full_for(queued_message):
            self.drop_expired(now_ms)
            if self._is_full_for(queued_message):
                return False
        self._messages.append(queued_message)
        self._total_bytes += len(queued_message.encoded_envelope)
        self._message_added.set()
        return True

    def _is_full_for(self, queued_message: QueuedMessage) -> bool:
        return (
            len(self._messages) >= MAX_MESSAGES
            or self._total_bytes + len(queued_message.encoded_envelope)
            > MAX_BYTES
        )

    async def wait_until_nonempty(self) -> None:
        """Wait until the queue holds a message."""
        while not self._messages:
            self._message_added = anyio.Event()
            await self._message_added.wait()

    def first_message_delay_ms(self, now_ms: float) -> float:
        """Return the time until the first message is due."""
        return max(0.0, self._messages[0].due_at_ms - now_ms)

    def pop_frame_messages(self, now_ms: float) -> list[QueuedMessage]:
        """Remove and return the due messages that fit into one frame.

        Expired messages are removed but not returned.
        """
        popped: list[QueuedMessage] = []
        frame_bytes = 0
        while self._messages and self._messages[0].due_at_ms <= now_ms:
            # A CBOR byte string header takes at most 5 bytes, and so does
            # the array header.
            frame_bytes += len(self._messages[0].encoded_envelope) + 5
            if popped and frame_bytes + 5 > wireformat.MAX_FRAME_BYTES:
                break
            queued_message = self._messages.popleft()
            self._total_bytes -= len(queued_message.encoded_envelope)
            if queued_message.expires_at_ms > now_ms:
                popped.append(queued_message)
        return popped

    def drop_expired(self, now_ms: float) -> None:
        """Remove the messages that have expired."""
        self._messages = collections.deque(
            queued_message
            for queued_message in self._messages
            if queued_message.expires_at_ms > now_ms
        )
        self._total_bytes = sum(
            len(queued_message.encoded_envelope)
            for queued_message in self._messages
        )

    def pop_all(self) -> list[QueuedMessage]:
        """Remove and return all messages, including expired ones."""
        popped = list(self._messages)
        self._messages.clear()
        self._total_bytes = 0
        return popped
