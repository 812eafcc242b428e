"""Tests of leases and of the HTTP responses to refusals."""

import hypothesis
from hypothesis import strategies

from pomeloward import model

_CLOCK_SPEEDS = strategies.floats(
    1 - model.MAX_DRIFT_RATIO / 2, 1 + model.MAX_DRIFT_RATIO / 2
)


@hypothesis.given(
    lifetime_ms=strategies.floats(1, 60_000),
    request_delay_ms=strategies.floats(0, 10_000),
    holder_speed=_CLOCK_SPEEDS,
    grantor_speed=_CLOCK_SPEEDS,
)
def test_lease_ends_at_holder_before_grantor(
    lifetime_ms, request_delay_ms, holder_speed, grantor_speed
):
    """Guards against two holders at once because of delay or clock drift.

    Each host's clock runs at its own speed within the drift bound; the ends
    of the lease are compared on one reference clock.
    """
    lease = model.Lease(0.0, lifetime_ms)
    holder_end_ms = lease.valid_until_ms / holder_speed
    granted_at_ms = request_delay_ms * grantor_speed
    grantor_end_ms = (
        model.outstanding_until_ms(granted_at_ms, lifetime_ms) / grantor_speed
    )
    assert holder_end_ms <= grantor_end_ms


def test_every_error_kind_has_an_answer_rule():
    """Guards against a refusal without an HTTP response."""
    assert set(model.ANSWER_RULES) == set(model.ErrorKind)
