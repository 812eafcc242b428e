"""Max-min fair division of slots between teams and hosts.

Progressive filling after D. Bertsekas and R. Gallager, "Data Networks"
(1992), section 6.5.2.
"""

import collections.abc
import typing

from pomeloward import model

_Key = typing.TypeVar("_Key", bound=collections.abc.Hashable)

Demand = collections.abc.Mapping[
    model.HostId, collections.abc.Mapping[model.TeamId, int]
]


def max_min(
    capacity: float,
    demands: collections.abc.Mapping[_Key, float],
    weights: collections.abc.Mapping[_Key, float],
) -> dict[_Key, float]:
    """Divide capacity so that no share grows at a smaller one's expense.

    A share never exceeds its demand; a key without a weight has weight 1.
    """
    shares = dict.fromkeys(demands, 0.0)
    order = sorted(
        demands, key=lambda key: demands[key] / weights.get(key, 1.0)
    )
    left = capacity
    weight_left = sum(weights.get(key, 1.0) for key in order)
    for key in order:
        weight = weights.get(key, 1.0)
        shares[key] = min(demands[key], left * weight / weight_left)
        left -= shares[key]
        weight_left -= weight
        if weight_left <= 0.0:
            break
    return shares


def host_shares(
    capacity: float,
    demand: Demand,
    weights: collections.abc.Mapping[model.TeamId, float],
) -> dict[model.HostId, float]:
    """Divide capacity between teams, and each team's part between hosts."""
    by_team: dict[model.TeamId, dict[model.HostId, float]] = {}
    for host, teams in demand.items():
        for team, count in teams.items():
            by_team.setdefault(team, {})[host] = count
    totals = {team: sum(hosts.values()) for team, hosts in by_team.items()}
    shares = dict.fromkeys(demand, 0.0)
    for team, part in max_min(capacity, totals, weights).items():
        for host, share in max_min(part, by_team[team], {}).items():
            shares[host] += share
    return shares


def whole_shares(
    capacity: int,
    shares: collections.abc.Mapping[model.HostId, float],
    credit: dict[model.HostId, float],
) -> dict[model.HostId, int]:
    """Round shares to whole slots so that remainders even out over rounds.

    ``credit`` carries what each host was short of in earlier rounds; it is
    changed in place and bounded to one slot either way.
    """
    whole = {host: int(share + 1e-9) for host, share in shares.items()}
    left = min(capacity, round(sum(shares.values()))) - sum(whole.values())
    due = {
        host: shares[host] - whole[host] + credit.get(host, 0.0)
        for host in shares
        if shares[host] - whole[host] > 1e-9
    }
    for host in sorted(due, key=lambda host: (-due[host], host))[:left]:
        whole[host] += 1
    for host, share in shares.items():
        owed = credit.get(host, 0.0) + share - whole[host]
        credit[host] = max(-1.0, min(1.0, owed))
    return whole
