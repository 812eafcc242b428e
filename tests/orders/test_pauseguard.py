"""Tests of the detection of pauses."""

from pomeloward.orders import pauseguard


def test_requests_are_old_right_after_a_long_pause():
    """Guards against running an order that waited while it was forgotten."""
    guard = pauseguard.PauseGuard()
    guard.tick(1_000.0)
    assert guard.is_fresh(2_000.0 + pauseguard.MAX_PAUSE_MS - 1_000.0)
    assert not guard.is_fresh(800_000.0)
    assert not guard.is_fresh(805_000.0)
    assert guard.is_fresh(810_000.0)
