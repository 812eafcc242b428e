"""Tests of the division of budgets."""

import hypothesis
from hypothesis import strategies

from pomeloward import budget
from pomeloward import catalog
from tests.budget import owners


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    rate=strategies.floats(0.1, 1e5),
    burst=strategies.floats(1.0, 1e5),
    shares=strategies.lists(
        strategies.floats(0.0, 1.0), min_size=1, max_size=3
    ).filter(lambda shares: sum(shares) > 0.1),
)
def test_portions_add_up_and_hold_a_token(rate, burst, shares):
    """Guards against portions over the budget or too small to lend."""
    scale = 0.999 / max(1.0, sum(shares))
    shares = [share * scale for share in shares]
    regions = [(f"r{at}", 64, share) for at, share in enumerate(shares)]
    team = catalog.Team("t", rate, burst)
    view = owners.configuration(["h1"], [team], regions=regions)
    portions = budget.portions_of(view, "t")
    total = sum(shares)
    rates = sum(found.rate_per_s for found in portions)
    bursts = [found.burst_requests for found in portions]
    assert abs(rates - rate * total) <= 1e-6 * rate
    assert abs(sum(bursts) - burst * total) <= 1e-6 * burst
    if burst * total >= 1 + 1e-6:
        assert min(bursts) >= 1
