"""Sizes of messages as they leave a host."""

from pomeloward import peer
from pomeloward.peer import wireformat

# A host that runs for a day has asked this many questions of a peer.
_ASK_ID = 100_000
_SHORT_BYTES = 126
_MASK_BYTES = 4


def frame_bytes(kind: wireformat.EnvelopeKind, content: peer.Message) -> int:
    """Return the size of a frame with its websocket header (RFC 6455).

    Asks and tells leave on the connection that the host dialed, whose frames
    are masked; answers return on it without a mask.
    """
    frame = wireformat.encode_frame(
        [wireformat.encode_envelope(kind, _ASK_ID, content)]
    )
    header = 2 if len(frame) < _SHORT_BYTES else 4
    if kind is not wireformat.EnvelopeKind.RESPONSE:
        header += _MASK_BYTES
    return header + len(frame)


def ask_bytes(content: peer.Message) -> int:
    """Return the size of a question."""
    return frame_bytes(wireformat.EnvelopeKind.REQUEST, content)


def answer_bytes(content: peer.Message) -> int:
    """Return the size of an answer."""
    return frame_bytes(wireformat.EnvelopeKind.RESPONSE, content)


def tell_bytes(content: peer.Message) -> int:
    """Return the size of a notice."""
    return frame_bytes(wireformat.EnvelopeKind.NOTIFICATION, content)
