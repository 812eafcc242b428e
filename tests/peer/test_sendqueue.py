"""Tests of the bounded queue of messages to one peer."""

from pomeloward.peer import sendqueue
from pomeloward.peer import wireformat


def _make_message(
    size_bytes: int = 10,
    due_at_ms: float = 0.0,
    expires_at_ms: float = 1_000.0,
) -> sendqueue.QueuedMessage:
    return sendqueue.QueuedMessage(
        "sample", bytes(size_bytes), due_at_ms, expires_at_ms
    )


def test_message_count_and_bytes_are_limited():
    """Guards against unlimited memory use for a peer that reads slowly."""
    send_queue = sendqueue.SendQueue()
    accepted = [send_queue.try_put(_make_message(), 0.0) for _ in range(2_000)]
    assert sum(accepted) == sendqueue.MAX_MESSAGES
    send_queue = sendqueue.SendQueue()
    accepted = [
        send_queue.try_put(_make_message(1_000_000), 0.0) for _ in range(10)
    ]
    assert sum(accepted) * 1_000_000 <= sendqueue.MAX_BYTES


def test_full_queue_drops_expired_messages_to_make_room():
    """Guards against a queue that stays full of stale messages."""
    send_queue = sendqueue.SendQueue()
    for _ in range(sendqueue.MAX_MESSAGES):
        send_queue.try_put(_make_message(), 0.0)
    assert not send_queue.try_put(_make_message(), 999.0)
    assert send_queue.try_put(_make_message(expires_at_ms=5_000.0), 1_001.0)
    assert len(send_queue) == 1


def test_one_frame_takes_all_due_messages_that_fit():
    """Guards against a frame above the limit and one frame per message."""
    send_queue = sendqueue.SendQueue()
    for _ in range(5):
        send_queue.try_put(_make_message(300_000), 0.0)
    send_queue.try_put(_make_message(due_at_ms=50.0), 0.0)
    first_frame_messages = send_queue.pop_frame_messages(1.0)
    assert len(first_frame_messages) == 3
    frame = wireformat.encode_frame(
        [queued.encoded_envelope for queued in first_frame_messages]
    )
    assert len(frame) <= wireformat.MAX_FRAME_BYTES
    assert len(send_queue.pop_frame_messages(1.0)) == 2
    assert send_queue.pop_frame_messages(1.0) == []
    assert len(send_queue.pop_frame_messages(51.0)) == 1


def test_expired_messages_are_not_sent():
    """Guards against stale requests after a connection was down."""
    send_queue = sendqueue.SendQueue()
    send_queue.try_put(_make_message(), 0.0)
    assert send_queue.pop_frame_messages(1_000.0) == []
