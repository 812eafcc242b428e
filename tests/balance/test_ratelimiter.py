"""Tests of the pace of cold targets."""

from pomeloward.balance import ratelimiter


def test_starts_of_a_warm_target_are_forgotten():
    """Nobody asks a warm target's pace; its starts were kept for ever."""
    made = ratelimiter.RateLimiter()
    for now_ms in range(0, 100_000, 10):
        made.record_start(now_ms)
    assert len(made) <= 100
    assert not made.allows(100, 99_999)
    assert made.allows(101, 99_999)
