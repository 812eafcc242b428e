"""Division of a team's rate and burst into portions."""

import dataclasses

import xxhash

from pomeloward import catalog
from pomeloward import model

# Portions of a team in one region; they lie in different availability zones.
MAX_PORTIONS = 3
# Small portions overflow while another one is empty, and so lose rate and
# burst: with 3.3 tokens each, a team at 80% of its rate was refused 1% of its
# requests. The price is that a small team is without tokens for the seconds
# until its one portion has a new owner.
_MIN_BURST_REQUESTS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Portion:
    """One part of a team's rate and burst, held by one owner.

    A portion whose ``burst_requests`` is under 1 never lends a token.
    """

    team: model.TeamId
    region: model.RegionId
    index: int
    rate_per_s: float
    burst_requests: float


def portions_of(
    view: catalog.View, team_id: model.TeamId
) -> tuple[Portion, ...]:
    """Divide a team's budget; empty when the team does not exist.

    Regions divide it by ``budget_share_ratio``. A region whose part of the
    burst is under one token gives its part to a region chosen by hash, so
    that no part is too small to admit a request, unless all of them together
    are. Within a region the part is
    divided into up to ``MAX_PORTIONS`` portions of at least
    ``_MIN_BURST_REQUESTS`` each, or kept as one.

    Example: a burst of 25 in one region makes two portions of 12.5 each.
    """
    team = view.team(team_id)
    if team is None:
        return ()
    portions = []
    for region, ratio in _ratios(view, team).items():
        burst = team.burst_requests * ratio
        count = max(1, min(MAX_PORTIONS, int(burst / _MIN_BURST_REQUESTS)))
        portions += [
            Portion(
                team_id,
                region,
                index,
                team.rate_per_s * ratio / count,
                burst / count,
            )
            for index in range(count)
        ]
    return tuple(portions)


def find_portion(
    view: catalog.View,
    team: model.TeamId,
    region: model.RegionId,
    index: int,
) -> Portion:
    """Return a portion; one of rate and burst 0 if it does not exist."""
    for portion in portions_of(view, team):
        if portion.region == region and portion.index == index:
            return portion
    return Portion(team, region, index, 0.0, 0.0)


def _ratios(
    view: catalog.View, team: catalog.Team
) -> dict[model.RegionId, float]:
    # Shares are not scaled up to 1: moving a share is a cut in one region and
    # a later raise in another, and the cut must not raise the others at once.
    ratios = {
        region.id: region.budget_share_ratio
        for region in view.regions()
        if region.budget_share_ratio > 0
    }
    large = {
        region: ratio
        for region, ratio in ratios.items()
        if team.burst_requests * ratio >= 1
    }
    if len(large) == len(ratios):
        return ratios
    rest = sum(ratios[region] for region in ratios if region not in large)
    home = max(
        large or ratios,
        key=lambda region: xxhash.xxh64_intdigest(
            f"{team.id}/{region}".encode()
        ),
    )
    return large | {home: large.get(home, 0.0) + rest}
