"""Teams with their API keys and request rates."""

import msgspec

from pomeloward import model


class Team(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A customer with API keys and a limited request rate."""

    id: model.TeamId
    # SHA-256 digests of the team's API keys.
    digests: tuple[bytes, ...]
    # Replaces the priority of the route, unless it is None.
    priority: int | None = None
    # 0 is no limit.
    rate_per_s: float = 0.0
    # How many requests may come at once before the rate limits them.
    burst_requests: float = 0.0
