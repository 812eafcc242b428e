"""Traffic of all teams of a deployment against a running fleet."""

import asyncio
import collections
import collections.abc
import random

from bench import deployment
from standins import caller

_ORDER_RATIO = 0.3


class Load:
    """One caller for each team, at a share of the team's rate.

    Requests arrive with exponential gaps; ``fill_ratio`` is the share of its
    rate that a team uses.
    """

    def __init__(
        self,
        plan: deployment.Deployment,
        contacts: list[str],
        seed: int,
        fill_ratio: float,
    ) -> None:
        self._plan = plan
        self._seed = seed
        self._stopped = asyncio.Event()
        self._refused_teams: set[str] = set()
        self._rates_per_s = {}
        self._callers: dict[str, caller.Caller] = {}
        for index, rate_per_s in enumerate(plan.team_rates_per_s):
            team = deployment.team_name(index)
            self._rates_per_s[team] = rate_per_s * fill_ratio
            self._callers[team] = caller.Caller(
                team, deployment.team_key(index), contacts, seed
            )

    def expect_refused(self, team: str) -> None:
        """Do not count a team's refusals for its key as failures."""
        self._refused_teams.add(team)

    def stop(self) -> None:
        """Send no further request."""
        self._stopped.set()

    def outcomes(self) -> list[caller.Outcome]:
        """Return the outcomes of all finished requests."""
        return [
            found for item in self._callers.values() for found in item.outcomes
        ]

    def failures(self) -> list[caller.Outcome]:
        """Return the requests that failed after their callers' retries."""
        return [
            found
            for found in self.outcomes()
            if found.status != 200
            and not (found.status == 401 and found.team in self._refused_teams)
        ]

    async def run(self) -> None:
        """Send until stopped, then wait for the open requests."""
        try:
            async with asyncio.TaskGroup() as group:
                for team in self._callers:
                    group.create_task(self._send_for(team, group))
        finally:
            for item in self._callers.values():
                await item.close()

    async def _send_for(self, team: str, group: asyncio.TaskGroup) -> None:
        source = random.Random(f"{self._seed}/gaps/{team}")
        item = self._callers[team]
        while not self._stopped.is_set():
            gap_s = source.expovariate(self._rates_per_s[team])
            try:
                await asyncio.wait_for(self._stopped.wait(), gap_s)
            except TimeoutError:
                group.create_task(self._one(item, source))

    async def _one(self, item: caller.Caller, source: random.Random) -> None:
        service = source.choice(self._plan.services)
        if source.random() < _ORDER_RATIO:
            await item.call(
                service.name, "POST", service.order_path, is_order=True
            )
        else:
            await item.call(service.name, "GET", service.read_path)


def count_kinds(
    outcomes: collections.abc.Iterable[caller.Outcome],
) -> dict[str, int]:
    """Count outcomes by status and kind."""
    counter = collections.Counter(
        f"{found.status} {found.kind}" for found in outcomes
    )
    return dict(counter.most_common())
