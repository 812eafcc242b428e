"""Messages between the readers of a region."""

from pomeloward import peer


class ReaderAsk(peer.Message, frozen=True, tag="reader_ask"):
    """A standby asks whether a host reads the platform."""


class ReaderAnswer(peer.Message, frozen=True, tag="reader_answer"):
    """Tells whether the host's own reads of the platform succeed."""

    is_reading: bool
