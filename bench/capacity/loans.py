"""Token loans by the number of hosts that a team's callers use."""

import random
import time

from bench.capacity import fit
from bench.capacity import loannetwork
from bench.capacity import memory
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward import budget
from pomeloward import model
from pomeloward.budget import messages

USERS = (1, 2, 3, 5, 8, 16)
# Callers of a small team get this many addresses; the first are owners.
ADDRESSES = 5
# Teams without demand are looked for after so many sweeps.
_ROUNDS = 20


def per_request(
    users: int, rate_per_s: float, run: runs.Run
) -> tuple[float, float, float]:
    """Return messages, bytes and decision time of one request.

    The time is without sweeps, whose cost depends on the teams of a host.
    """
    network = loannetwork.Network(users, rate_per_s, run.seed)
    network.run(200 if run.is_quick else 800)
    if not network.requests:
        raise RuntimeError("no request arrived")
    return (
        network.sent["messages"] / network.requests,
        network.sent["bytes"] / network.requests,
        network.spent_s / network.requests,
    )


def measure(run: runs.Run) -> tuple[list[row.Row], list[tuple[int, float]]]:
    """Return the row of loans, and bytes per request by hosts."""
    found = []
    for users in USERS:
        found.append(
            (users, *per_request(users, size.TEAM_REQUESTS_PER_S, run))
        )
    # One of the hosts is the owner, and only the others send messages.
    by_count = fit.fit([(_others(each[0]), each[1]) for each in found])
    by_bytes = fit.fit([(_others(each[0]), each[2]) for each in found])
    by_time = fit.fit([(_others(each[0]), each[3]) for each in found])
    others = _others(ADDRESSES)
    requests = size.HOST_REQUESTS_PER_S
    messages_per_s = by_count.at(others) * requests
    bytes_per_s = by_bytes.at(others) * requests
    core = by_time.at(others) * requests
    core += run.transport.core_ratio(messages_per_s, bytes_per_s)
    loans = row.Row(
        row.Role.BUDGET,
        "token loans: 81 requests/s of teams with 0.8 requests/s each, "
        "callers on 5 hosts",
        "portions of the bucket; the owner comes first in address answers",
        state_mb=_state().at(size.TEAMS / size.REGION_HOSTS),
        messages_per_s=messages_per_s,
        bytes_per_s=bytes_per_s,
        core_ratio=core,
        error_ratio=max(
            each.error_ratio for each in (by_count, by_bytes, by_time)
        ),
        change="address answers that name the owners of the portions a "
        "team has, and fewer other hosts",
    )
    return [loans, _sweeps()], [(each[0], each[2]) for each in found]


def _sweeps() -> row.Row:
    """Return the row of the sweeps over all teams that a host knows."""
    points = []
    for teams in (125, 250, 500, 1_000):
        tokens = budget.Borrower(random.Random(1))
        for number in range(teams):
            tokens.note(model.TeamId(f"team-{number}"), 0.0)
        started = time.process_time()
        for number in range(_ROUNDS):
            tokens.sweep(float(number))
        tokens.forget(float(_ROUNDS))
        spent = (time.process_time() - started) / _ROUNDS
        points.append((float(teams), spent))
    by_time = fit.fit(points)
    # A wallet without use is forgotten; a team asks from all of its hosts.
    teams_known = size.TEAMS * ADDRESSES / size.HOSTS
    return row.Row(
        row.Role.EVERY,
        f"sweep of loans, 20 a second over {teams_known:.0f} teams",
        "returns idle tokens within 170 ms, over teams with loans only",
        core_ratio=by_time.at(teams_known) * 1_000 / loannetwork.SWEEP_MS,
        error_ratio=by_time.error_ratio,
        change="a queue of holdings by the time of their return",
    )


def _others(users: int) -> float:
    """Return the share of a team's requests at hosts that own nothing."""
    return 1.0 - 1.0 / users


def _state() -> fit.Fit:
    """Return MB by buckets; the planned teams have one in each region."""
    points = []
    for buckets in (100, 200, 400, 800):

        def build(buckets: int = buckets) -> object:
            lender = budget.Lender()
            partition = model.PartitionId("region-0/1")
            lender.acquire(partition, None, 0.0)
            for number in range(buckets):
                team = model.TeamId(f"team-{number}")
                portion = budget.Portion(
                    team, loannetwork.REGION, 0, 10.0, 50.0
                )
                question = messages.TakeTokens(
                    number=number,
                    team=team,
                    region=loannetwork.REGION,
                    portion=0,
                    need=1,
                    extra=0,
                )
                host = model.HostId("host-1")
                lender.lend(partition, portion, host, question, 60_000.0)
            return lender

        points.append((float(buckets), memory.retained_mb(build)))
    return fit.fit(points)
