"""Counters of the messages between hosts, by message type."""

import dataclasses


@dataclasses.dataclass(slots=True)
class MessageTypeCounters:
    """Message and byte counts of one message type."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0


class TrafficCounters:
    """Counters of all messages that a host exchanged with its peers.

    Bytes are those of the encoded envelopes, without the headers of
    websocket frames, TCP and IP.
    """

    def __init__(self) -> None:
        self.by_message_tag: dict[str, MessageTypeCounters] = {}

    def counters_for(self, message_tag: str) -> MessageTypeCounters:
        """Return the counters of a message type; create them if missing."""
        counters = self.by_message_tag.get(message_tag)
        if counters is None:
            counters = self.by_message_tag[message_tag] = MessageTypeCounters()
        return counters

    def count_sent(self, message_tag: str, size_bytes: int) -> None:
        """Count a message that is about to be written to a connection."""
        counters = self.counters_for(message_tag)
        counters.messages_sent += 1
        counters.bytes_sent += size_bytes

    def count_received(self, message_tag: str, size_bytes: int) -> None:
        """Count a received message."""
        counters = self.counters_for(message_tag)
        counters.messages_received += 1
        counters.bytes_received += size_bytes

    def count_dropped(self, message_tag: str) -> None:
        """Count a message that was dropped before it was sent."""
        self.counters_for(message_tag).messages_dropped += 1
