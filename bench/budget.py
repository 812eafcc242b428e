"""Measures refusals of requests that are within their team's rate.

Forty hosts in four zones serve eight teams. Demand moves between hosts every
few seconds; one team sends 5 times its rate; one host is lost. A request is
within the rate if one exact token bucket for the whole fleet admits it.
Beside it, the same requests meet equal shares of rate and burst on each host
(with at least one token of burst, which is more than the rate allows).

Run: ``python -m bench.budget --seed 1 --seeds 5``.
"""

import argparse
import statistics

from bench import budgetfleet

STEADY_BOUND_RATIO = 0.001
LOSS_BOUND_RATIO = 0.01


def _ratios(
    fleet: budgetfleet.Fleet, phase: str, teams: list[str]
) -> tuple[float, float]:
    counts = [fleet.counts[team, phase] for team in teams]
    within = sum(count.within for count in counts)
    return (
        sum(count.refused for count in counts) / within,
        sum(count.refused_static for count in counts) / within,
    )


def _rows(fleet: budgetfleet.Fleet) -> dict[str, tuple[float, float]]:
    in_rate = [team for team in budgetfleet.TEAMS if team != "greedy"]
    rows = {}
    for phase in ("steady", "loss"):
        rows[f"{phase}: all teams in rate"] = _ratios(fleet, phase, in_rate)
        for team in budgetfleet.TEAMS:
            rows[f"{phase}: {team}"] = _ratios(fleet, phase, [team])
    return rows


def _percent(values: list[float]) -> str:
    median, worst = statistics.median(values), max(values)
    return f"{median * 100:8.3f} {worst * 100:8.3f}"


def main() -> None:
    """Print the table; exit status 1 if a bound is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    fleets = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        fleets.append(budgetfleet.Fleet(seed))
        fleets[-1].run()
    tables = [_rows(fleet) for fleet in fleets]
    print("refused of the requests within the rate, %")
    print(f"{'':30}{'loans':^18}  {'equal shares':^18}")
    print(f"{'':30}{'median':>8} {'worst':>8}    {'median':>8} {'worst':>8}")
    for name in tables[0]:
        loans = _percent([table[name][0] for table in tables])
        static = _percent([table[name][1] for table in tables])
        print(f"{name:30}{loans}    {static}")
    accepted = [
        fleet.counts["greedy", "steady"].accepted
        * 1000
        / (budgetfleet.LOSS_MS - budgetfleet.WARM_MS)
        for fleet in fleets
    ]
    rate = budgetfleet.TEAMS["greedy"][0]
    print(
        f"greedy team: {statistics.median(accepted):.1f} accepted per s "
        f"(rate {rate:.0f})"
    )
    for unit in ("messages", "bytes"):
        per_request = [fleet.sent[unit] / fleet.requests for fleet in fleets]
        print(f"{unit} per request: {statistics.median(per_request):.2f}")
    overshoots = sum(fleet.overshoots for fleet in fleets)
    print(f"requests beyond burst + rate x time: {overshoots}")
    steady = max(table["steady: all teams in rate"][0] for table in tables)
    loss = max(table["loss: all teams in rate"][0] for table in tables)
    is_met = steady < STEADY_BOUND_RATIO and loss < LOSS_BOUND_RATIO
    print("bounds met" if is_met else "bounds missed")
    raise SystemExit(not is_met or overshoots > 0)


if __name__ == "__main__":
    main()
