"""Tests of permissions with a bounded lifetime."""

import hypothesis
from hypothesis import strategies

from pomeloward import model

_DRIFT = strategies.floats(
    1 - model.MAX_DRIFT_RATIO / 2, 1 + model.MAX_DRIFT_RATIO / 2
)


@hypothesis.given(
    lifetime_ms=strategies.floats(1, 60_000),
    trip_ms=strategies.floats(0, 10_000),
    holder_speed=_DRIFT,
    grantor_speed=_DRIFT,
)
def test_holder_stops_before_grantor_forgets(
    lifetime_ms, trip_ms, holder_speed, grantor_speed
):
    """Guards against two holders at once because of delay or drift.

    Times are converted from one reference clock; each host's clock runs at
    its own speed within the drift bound.
    """
    lease = model.Lease(0.0, lifetime_ms)
    holder_end_ms = lease.valid_until_ms / holder_speed
    answered_at_ms = trip_ms * grantor_speed
    grantor_end_ms = (
        model.outstanding_until_ms(answered_at_ms, lifetime_ms) / grantor_speed
    )
    assert holder_end_ms <= grantor_end_ms


def test_every_error_kind_has_an_answer():
    """Guards against a refusal that cannot be turned into an answer."""
    assert set(model.ANSWER_RULES) == set(model.ErrorKind)
