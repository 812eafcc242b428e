"""Tests of the rate limit for cold targets."""

from pomeloward.balance import ratelimiter


def test_expired_starts_at_a_warm_target_are_dropped():
    """The starts at warm targets, whose rate is never checked, piled up."""
    limiter = ratelimiter.RateLimiter()
    for now_ms in range(0, 100_000, 10):
        limiter.record_start(now_ms)
    assert len(limiter) <= 100
    assert not limiter.allows(100, 99_999)
    assert limiter.allows(101, 99_999)
