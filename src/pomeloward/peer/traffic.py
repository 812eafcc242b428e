"""Counters of peer traffic by message type."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Count:
    """Messages and payload bytes of one message type."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0


class Traffic:
    """Counters of everything that a host sent to and got from its peers.

    Bytes are those of the encoded messages with their envelope, without the
    headers of websocket frames, TCP and IP.
    """

    def __init__(self) -> None:
        self.by_tag: dict[str, Count] = {}

    def count(self, tag: str) -> Count:
        """Return the counter of a message type, made on first use."""
        count = self.by_tag.get(tag)
        if count is None:
            count = self.by_tag[tag] = Count()
        return count

    def sent(self, tag: str, size: int) -> None:
        """Count a message that was handed to a connection."""
        count = self.count(tag)
        count.messages_sent += 1
        count.bytes_sent += size

    def received(self, tag: str, size: int) -> None:
        """Count a message that arrived."""
        count = self.count(tag)
        count.messages_received += 1
        count.bytes_received += size

    def dropped(self, tag: str) -> None:
        """Count a message that was given up before it was sent."""
        self.count(tag).messages_dropped += 1
