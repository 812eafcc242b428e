"""Tests of the bounded queue of one connection."""

from pomeloward.peer import outbox
from pomeloward.peer import wireformat


def _item(
    size: int = 10, due_ms: float = 0.0, expires_ms: float = 1_000.0
) -> outbox.Item:
    return outbox.Item("sample", bytes(size), due_ms, expires_ms)


def test_number_and_size_are_bounded():
    """Guards against memory that a slow peer makes grow without bound."""
    queue = outbox.Outbox()
    accepted = [queue.put(_item(), 0.0) for _ in range(2_000)]
    assert sum(accepted) == outbox.MAX_MESSAGES
    queue = outbox.Outbox()
    accepted = [queue.put(_item(1_000_000), 0.0) for _ in range(10)]
    assert sum(accepted) * 1_000_000 <= outbox.MAX_BYTES


def test_room_is_made_from_expired_messages():
    """Guards against a queue that stays full of stale messages."""
    queue = outbox.Outbox()
    for _ in range(outbox.MAX_MESSAGES):
        queue.put(_item(), 0.0)
    assert not queue.put(_item(), 999.0)
    assert queue.put(_item(expires_ms=5_000.0), 1_001.0)
    assert len(queue) == 1


def test_one_frame_takes_all_that_is_due_and_fits():
    """Guards against a frame over the limit, and against one per message."""
    queue = outbox.Outbox()
    for _ in range(5):
        queue.put(_item(300_000), 0.0)
    queue.put(_item(due_ms=50.0), 0.0)
    first = queue.take_frame(1.0)
    assert len(first) == 3
    frame = wireformat.encode_frame([item.encoded for item in first])
    assert len(frame) <= wireformat.MAX_FRAME_BYTES
    assert len(queue.take_frame(1.0)) == 2
    assert queue.take_frame(1.0) == []
    assert len(queue.take_frame(51.0)) == 1


def test_expired_messages_are_not_sent():
    """Guards against stale asks after a connection was away."""
    queue = outbox.Outbox()
    queue.put(_item(), 0.0)
    assert queue.take_frame(1_000.0) == []
